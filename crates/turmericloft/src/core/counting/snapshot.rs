//! Snapshots of a gateway's cumulative counts, and the messages that carry them.

use serde::{Deserialize, Serialize};

use super::{CountRow, Resolution, packed_rows};
use crate::core::{HostId, Outcome, document::MeasurementBudget};

/// Rows of one incarnation of a gateway that changed after an earlier snapshot. Counts are
/// cumulative, so lost, duplicate and reordered snapshots are harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Gateway and incarnation that the counts are of.
    pub host: HostId,
    /// Number of the snapshot within its incarnation, ascending from 1.
    pub sequence: u64,
    /// Sequence of the snapshot after which the rows changed; 0 if the snapshot contains every
    /// row.
    #[serde(rename = "since")]
    pub base_sequence: u64,
    /// Time of the snapshot, in milliseconds since the Unix epoch.
    pub taken_at_ms: u64,
    /// Whether the incarnation has ended and its counts are final.
    #[serde(rename = "last")]
    pub is_last: bool,
    /// Changed rows, each with its cumulative counts.
    #[serde(with = "packed_rows")]
    pub rows: Vec<CountRow>,
}

impl Snapshot {
    /// Turns this into the last snapshot of an incarnation: requests still in flight count as
    /// unfinished, because the end of the process cuts them off. The snapshot must contain every
    /// row, so its base sequence must be 0.
    pub fn into_last(mut self) -> Self {
        for row in &mut self.rows {
            let in_flight = row.counts.in_flight();
            row.counts.ended[Outcome::Unfinished as usize] += in_flight;
        }
        self.is_last = true;
        self
    }
}

/// Request of a gateway to its reporter: a snapshot, and the budget and cost of measuring.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotMessage {
    /// Snapshot of the gateway's counts.
    pub snapshot: Snapshot,
    /// Budget of the active document; `None` before the gateway has one.
    pub budget: Option<MeasurementBudget>,
    /// Processor time of counting in the gateway, as a share of one core.
    pub core_share: f64,
}

/// Response of a reporter to a [`SnapshotMessage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// Sequence of the newest applied snapshot of this incarnation; 0 before the first.
    #[serde(rename = "held")]
    pub acked_sequence: u64,
    /// Resolution that the gateway should count with.
    pub resolution: Resolution,
}
