//! Rows of counts.

use serde::{Deserialize, Serialize};

use super::{CountKey, OutcomeCounts};

/// Cumulative counts of one caller, service and kind within one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountRow {
    /// Key of the counted requests.
    pub key: CountKey,
    /// Counts since the incarnation started.
    #[serde(rename = "tally")]
    pub counts: OutcomeCounts,
}

impl CountRow {
    /// A row with all counts zero.
    pub fn new(key: CountKey) -> Self {
        Self {
            key,
            counts: OutcomeCounts::default(),
        }
    }
}
