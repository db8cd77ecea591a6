//! Gaps: times for which a report lacks counts.

use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::core::HostId;

/// A time from which on counts are unknown, of one incarnation or of the log service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Gap {
    /// Incarnation whose counts are unknown; `None` if the gap concerns the log service.
    pub host: Option<HostId>,
    /// Reason why the counts are unknown.
    pub reason: GapReason,
    /// Time up to which the counts of the incarnation are known, in milliseconds since the Unix
    /// epoch. For the log service: when the unreadable record was appended, or the time of the
    /// oldest record that is kept.
    pub from_ms: u64,
}

/// Reason of a [`Gap`].
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GapReason {
    /// No counts of the gateway have been received since, and it did not report its end.
    Silent,
    /// The gateway restarted without having sent its last counts.
    EndedWithoutLastCounts,
    /// No counts were received near an end of the period; some may belong to the adjacent period.
    LateCounts,
    /// The log service has dropped the records of the period's start.
    PastRetention,
    /// A record could not be decoded.
    UnreadableRecord,
}

impl GapReason {
    /// Explanation for the readers of a report; part of its text and HTML forms.
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
