//! Counts of one key.

use serde::{Deserialize, Serialize};

use super::{CountKey, OutcomeCounts};

/// Cumulative counts of one caller, service and kind within one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountRow {
    /// What is counted.
    pub key: CountKey,
    /// The counts.
    #[serde(rename = "tally")]
    pub counts: OutcomeCounts,
}

impl CountRow {
    /// A row of zeros.
    pub fn new(key: CountKey) -> Self {
        Self {
            key,
            counts: OutcomeCounts::default(),
        }
    }
}
