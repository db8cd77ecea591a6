//! Requests that ended in the same way at the same step.

use serde::{Deserialize, Serialize};

use crate::core::{Outcome, Step};

/// How many requests ended with an outcome at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepCount {
    /// How they ended.
    pub outcome: Outcome,
    /// The step at which they ended.
    pub step: Step,
    /// Number of requests.
    pub requests: u64,
}
