//! Counts of one incarnation of a gateway, as its reporter stores them.

use std::collections::HashMap;

use super::{CountKey, CountRow, LatencyHistogram, Snapshot};
use crate::core::HostId;

/// The newest known counts of one incarnation, with the sequence of the snapshot that last changed
/// each row.
#[derive(Clone, Debug)]
pub struct IncarnationCounts {
    host: HostId,
    sequence: u64,
    taken_at_ms: u64,
    is_last: bool,
    rows: HashMap<CountKey, ReceivedRow>,
}

#[derive(Clone, Debug)]
struct ReceivedRow {
    row: CountRow,
    sequence: u64,
}

impl IncarnationCounts {
    /// Empty counts, before the first snapshot.
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            sequence: 0,
            taken_at_ms: 0,
            is_last: false,
            rows: HashMap::new(),
        }
    }

    /// Applies a snapshot. Ignores one that is not newer than the last applied, or whose base is
    /// a snapshot that has not been applied.
    pub fn apply(&mut self, snapshot: Snapshot) {
        if snapshot.sequence <= self.sequence || snapshot.base_sequence > self.sequence {
            return;
        }
        let sequence = snapshot.sequence;
        for row in snapshot.rows {
            self.rows
                .insert(row.key.clone(), ReceivedRow { row, sequence });
        }
        self.sequence = sequence;
        self.taken_at_ms = snapshot.taken_at_ms;
        self.is_last = snapshot.is_last;
    }

    /// Gateway and incarnation that the counts are of.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Sequence of the newest applied snapshot; 0 before the first.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Time of the newest applied snapshot, in milliseconds since the Unix epoch; 0 before the
    /// first.
    pub fn taken_at_ms(&self) -> u64 {
        self.taken_at_ms
    }

    /// Whether the incarnation has ended and its counts are final.
    pub fn is_last(&self) -> bool {
        self.is_last
    }

    /// Rows received in snapshots after the one with sequence `base_sequence`, in key order.
    pub fn rows_changed_after(&self, base_sequence: u64) -> Vec<&CountRow> {
        let changed = self.rows.values().filter(|r| r.sequence > base_sequence);
        let mut rows: Vec<_> = changed.map(|r| &r.row).collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        rows
    }

    /// Clears the latencies of all rows.
    pub fn clear_latency(&mut self) {
        for received in self.rows.values_mut() {
            received.row.counts.latency = LatencyHistogram::default();
        }
    }

    /// Memory of the rows, in bytes, without the text of names.
    pub fn memory_bytes(&self) -> usize {
        let rows = self.rows.len() * (size_of::<CountKey>() + size_of::<ReceivedRow>());
        let steps = |r: &ReceivedRow| size_of_val(r.row.counts.steps.as_slice());
        let variable =
            |r: &ReceivedRow| LatencyHistogram::memory_bytes(&r.row.counts.latency) + steps(r);
        rows + self.rows.values().map(variable).sum::<usize>()
    }
}
