//! What a report does not know.

use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::core::HostId;

/// A stretch of time in which the counts of one incarnation are not known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Gap {
    /// The incarnation; `None` if the gap is not of one.
    pub host: Option<HostId>,
    /// Why the counts are not known.
    pub reason: GapReason,
    /// Counts are known up to here, in milliseconds since the Unix epoch.
    pub from_ms: u64,
}

/// Why counts are not known.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GapReason {
    /// The gateway has not been heard of since, and did not say that it was ending.
    Silent,
    /// The gateway was started again without having sent its last counts.
    EndedWithoutLastCounts,
    /// No counts were taken at an edge of the period; some belong to the period beside it.
    LateCounts,
    /// The log service no longer keeps the records of the period's start.
    PastRetention,
    /// A record could not be read.
    UnreadableRecord,
}

impl GapReason {
    /// What it means, for people.
    pub fn explanation(self) -> &'static str {
        match self {
            Self::Silent => "not heard of since; it may have counted more",
            Self::EndedWithoutLastCounts => "ended without its last counts; some are missing",
            Self::LateCounts => "no counts until later; some belong to the period beside it",
            Self::PastRetention => "earlier counts are past the log service's retention",
            Self::UnreadableRecord => "a record could not be read",
        }
    }
}
