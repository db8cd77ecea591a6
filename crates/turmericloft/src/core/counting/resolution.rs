//! How finely requests are counted and published.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// Levels of resolution, finest first. Counts stay exact at every level; first the times are
/// left out, then snapshots and publications come further apart.
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
    /// Counts and times, published every 5 seconds.
    #[default]
    Full,
    /// Counts without times, published every 5 seconds.
    Counts,
    /// Counts without times, published every 30 seconds.
    SlowCounts,
    /// Counts without times, published every 2 minutes.
    SparseCounts,
}

impl Resolution {
    /// Whether times are taken.
    pub fn has_latency(self) -> bool {
        self == Self::Full
    }

    /// Time between two snapshots of a gateway.
    pub fn snapshot_interval(self) -> Duration {
        match self {
            Self::Full => Duration::from_millis(500),
            Self::Counts => Duration::from_secs(1),
            Self::SlowCounts => Duration::from_secs(2),
            Self::SparseCounts => Duration::from_secs(5),
        }
    }

    /// Time between two publications.
    pub fn interval(self) -> Duration {
        match self {
            Self::Full | Self::Counts => Duration::from_secs(5),
            Self::SlowCounts => Duration::from_secs(30),
            Self::SparseCounts => Duration::from_secs(120),
        }
    }

    /// The next coarser level.
    pub fn coarser(self) -> Option<Self> {
        match self {
            Self::Full => Some(Self::Counts),
            Self::Counts => Some(Self::SlowCounts),
            Self::SlowCounts => Some(Self::SparseCounts),
            Self::SparseCounts => None,
        }
    }

    /// The next finer level.
    pub fn finer(self) -> Option<Self> {
        match self {
            Self::Full => None,
            Self::Counts => Some(Self::Full),
            Self::SlowCounts => Some(Self::Counts),
            Self::SparseCounts => Some(Self::SlowCounts),
        }
    }
}
