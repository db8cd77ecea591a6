//! Number of requests by outcome and step.

use serde::{Deserialize, Serialize};

use crate::core::{Outcome, Step};

/// Number of requests that ended with one outcome at one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepCount {
    /// Outcome of the requests; never served.
    pub outcome: Outcome,
    /// Step at which the requests ended.
    pub step: Step,
    /// Number of requests, over the same time as the [`OutcomeCounts`](super::OutcomeCounts)
    /// that contain it.
    pub requests: u64,
}
