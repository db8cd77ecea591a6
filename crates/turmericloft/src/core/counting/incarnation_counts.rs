//! What a reporter holds of one incarnation of its gateway.

use std::collections::HashMap;

use super::{CountKey, CountRow, LatencyHistogram, Snapshot};
use crate::core::HostId;

/// The newest known counts of one incarnation, and which snapshot brought each row.
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
    /// Nothing held yet.
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            sequence: 0,
            taken_at_ms: 0,
            is_last: false,
            rows: HashMap::new(),
        }
    }

    /// Takes a snapshot unless it is old or builds on one that is not held.
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

    /// The incarnation.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Sequence of the newest snapshot held; 0 without one.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Time of the newest snapshot held, in milliseconds since the Unix epoch.
    pub fn taken_at_ms(&self) -> u64 {
        self.taken_at_ms
    }

    /// Whether the incarnation counts no more.
    pub fn is_last(&self) -> bool {
        self.is_last
    }

    /// Rows that snapshots after the one numbered `since` brought, in the order of their keys.
    pub fn rows_changed_after(&self, since: u64) -> Vec<&CountRow> {
        let held = self.rows.values().filter(|h| h.sequence > since);
        let mut rows: Vec<_> = held.map(|h| &h.row).collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        rows
    }

    /// Drops the times of all rows.
    pub fn drop_latency(&mut self) {
        for held in self.rows.values_mut() {
            held.row.counts.latency = LatencyHistogram::default();
        }
    }

    /// Memory held, in bytes, without the text of names.
    pub fn memory_bytes(&self) -> usize {
        let rows = self.rows.len() * (size_of::<CountKey>() + size_of::<ReceivedRow>());
        let steps = |h: &ReceivedRow| size_of_val(h.row.counts.steps.as_slice());
        let variable =
            |h: &ReceivedRow| LatencyHistogram::memory_bytes(&h.row.counts.latency) + steps(h);
        rows + self.rows.values().map(variable).sum::<usize>()
    }
}
