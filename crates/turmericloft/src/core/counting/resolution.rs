//! Levels of detail at which requests are counted and published.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// Level of detail of counting, finest first. Counts stay exact at every level: coarser levels
/// first omit latencies, then lengthen the intervals of snapshots and publishing rounds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Resolution {
    /// Counts and latencies, published every 5 seconds.
    #[default]
    Full,
    /// Counts without latencies, published every 5 seconds.
    Counts,
    /// Counts without latencies, published every 30 seconds.
    SlowCounts,
    /// Counts without latencies, published every 2 minutes.
    SparseCounts,
}

impl Resolution {
    /// Whether latencies are recorded.
    pub fn has_latency(self) -> bool {
        self == Self::Full
    }

    /// Interval at which a gateway sends snapshots.
    pub fn snapshot_interval(self) -> Duration {
        match self {
            Self::Full => Duration::from_millis(500),
            Self::Counts => Duration::from_secs(1),
            Self::SlowCounts => Duration::from_secs(2),
            Self::SparseCounts => Duration::from_secs(5),
        }
    }

    /// Interval at which a reporter starts a publishing round.
    pub fn round_interval(self) -> Duration {
        match self {
            Self::Full | Self::Counts => Duration::from_secs(5),
            Self::SlowCounts => Duration::from_secs(30),
            Self::SparseCounts => Duration::from_secs(120),
        }
    }

    /// The next coarser level; `None` from the coarsest.
    pub fn coarser(self) -> Option<Self> {
        match self {
            Self::Full => Some(Self::Counts),
            Self::Counts => Some(Self::SlowCounts),
            Self::SlowCounts => Some(Self::SparseCounts),
            Self::SparseCounts => None,
        }
    }

    /// The next finer level; `None` from the finest.
    pub fn finer(self) -> Option<Self> {
        match self {
            Self::Full => None,
            Self::Counts => Some(Self::Full),
            Self::SlowCounts => Some(Self::Counts),
            Self::SparseCounts => Some(Self::SlowCounts),
        }
    }
}
