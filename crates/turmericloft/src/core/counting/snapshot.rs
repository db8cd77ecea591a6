//! Cumulative counts of one host at one moment.

use serde::{Deserialize, Serialize};

use super::{CountRow, Resolution, packed_rows};
use crate::core::{HostId, Outcome, document::MeasurementBudget};

/// Rows of one incarnation of a gateway that changed after an earlier snapshot. Counts are
/// cumulative, so lost, repeated and reordered snapshots do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Gateway that counted.
    pub host: HostId,
    /// Grows with each snapshot of the incarnation, from 1.
    pub sequence: u64,
    /// The snapshot has every row that changed after the one numbered so; 0: every row.
    pub since: u64,
    /// Time of the snapshot, in milliseconds since the Unix epoch.
    pub taken_at_ms: u64,
    /// Whether the gateway counts no more.
    pub last: bool,
    /// Counts by key.
    #[serde(with = "packed_rows")]
    pub rows: Vec<CountRow>,
}

impl Snapshot {
    /// The last snapshot of an incarnation: what is still in flight is cut off by the end of the
    /// process, and so unfinished. The snapshot must have every row.
    pub fn into_last(mut self) -> Self {
        for row in &mut self.rows {
            let in_flight = row.tally.in_flight();
            row.tally.ended[Outcome::Unfinished as usize] += in_flight;
        }
        self.last = true;
        self
    }
}

/// A snapshot with what the reporter needs to keep measuring within its budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotMessage {
    /// The counts.
    pub snapshot: Snapshot,
    /// Budget of the document in force; `None` before the first.
    pub budget: Option<MeasurementBudget>,
    /// Share of a processor core that counting takes in the gateway.
    pub core_share: f64,
}

/// What a reporter answers to a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// Sequence of the newest snapshot held of this incarnation; 0 without one.
    pub held: u64,
    /// Resolution to count with.
    pub resolution: Resolution,
}
