//! Limits for the cost of measurement.

use serde::{Deserialize, Serialize};

/// Upper limits for the cost of counting and reporting on one host, set in the document.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MeasurementBudget {
    /// Share of one processor core, from 0 to 1.
    pub core_share: f64,
    /// Bytes per second sent to the log service and to peers.
    pub bytes_per_s: u64,
    /// Memory used for counting and reporting, in bytes.
    pub memory_bytes: u64,
}

impl Default for MeasurementBudget {
    fn default() -> Self {
        Self {
            core_share: 0.01,
            bytes_per_s: 2_048,
            memory_bytes: 16 << 20,
        }
    }
}
