//! The counter of one [`CountKey`].

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use parking_lot::Mutex;

use super::{CountKey, CountRow, LatencyHistogram, OutcomeCounts, request_counters::SharedState};
use crate::core::{Outcome, Step};

/// Counts of one key under a lock of their own, so that every copy of the row is consistent.
#[derive(Debug)]
pub(super) struct Counter {
    state: Mutex<CounterState>,
    shared: Arc<SharedState>,
}

#[derive(Debug)]
struct CounterState {
    row: CountRow,
    /// Sequence of the first snapshot that contains the newest change.
    changed_sequence: u64,
}

impl Counter {
    pub(super) fn new(key: CountKey, shared: Arc<SharedState>) -> Arc<Self> {
        let row = CountRow::new(key);
        Arc::new(Self {
            state: Mutex::new(CounterState {
                row,
                changed_sequence: 0,
            }),
            shared,
        })
    }

    pub(super) fn record_admission(&self) {
        self.update(|counts| counts.admitted += 1);
    }

    pub(super) fn record_end(
        &self,
        outcome: Outcome,
        step: Option<Step>,
        elapsed: Option<Duration>,
    ) {
        self.update(|counts| counts.record_end(outcome, step, elapsed));
    }

    pub(super) fn clear_latency(&self) {
        self.state.lock().row.counts.latency = LatencyHistogram::default();
    }

    /// The row, if it changed after the snapshot with sequence `base_sequence`.
    pub(super) fn row_if_changed_after(&self, base_sequence: u64) -> Option<CountRow> {
        let state = self.state.lock();
        (state.changed_sequence > base_sequence).then(|| state.row.clone())
    }

    fn update(&self, change: impl FnOnce(&mut OutcomeCounts)) {
        let mut state = self.state.lock();
        // Loaded under the lock: a snapshot that has read this row already has incremented the
        // sequence, so that the change belongs to a later snapshot.
        state.changed_sequence = self.shared.sequence.load(Ordering::Acquire);
        change(&mut state.row.counts);
    }
}
