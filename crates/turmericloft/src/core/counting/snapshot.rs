//! Cumulative counts of one host at one moment.

use serde::{Deserialize, Serialize};

use super::CountRow;
use crate::core::HostId;

/// All counts of one incarnation of a gateway. A later sequence replaces an earlier one, so
/// lost, repeated and reordered snapshots do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Gateway that counted.
    pub host: HostId,
    /// Grows with each snapshot of the incarnation.
    pub sequence: u64,
    /// Time of the snapshot, in milliseconds since the Unix epoch.
    pub taken_at_ms: u64,
    /// Counts by key.
    pub rows: Vec<CountRow>,
}

impl Snapshot {
    /// Stream of an environment's snapshots in the log service.
    pub fn stream(environment: &crate::core::Name) -> String {
        format!("reports.{environment}")
    }
}
