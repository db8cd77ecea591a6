//! The counter of one key.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use parking_lot::Mutex;

use super::{CountKey, CountRow, LatencyHistogram, OutcomeCounts, request_counters::SharedState};
use crate::core::{Outcome, Step};

/// Counts of one key under their own lock, so that a row is always consistent in itself.
#[derive(Debug)]
pub(super) struct Counter {
    counted: Mutex<Counted>,
    state: Arc<SharedState>,
}

#[derive(Debug)]
struct Counted {
    row: CountRow,
    /// Sequence of the first snapshot that has the last change.
    changed: u64,
}

impl Counter {
    pub(super) fn new(key: CountKey, state: Arc<SharedState>) -> Arc<Self> {
        let row = CountRow::new(key);
        Arc::new(Self {
            counted: Mutex::new(Counted { row, changed: 0 }),
            state,
        })
    }

    pub(super) fn admit(&self) {
        self.update(|counts| counts.admitted += 1);
    }

    pub(super) fn end(&self, outcome: Outcome, step: Option<Step>, elapsed: Option<Duration>) {
        self.update(|counts| counts.end(outcome, step, elapsed));
    }

    pub(super) fn drop_latency(&self) {
        self.counted.lock().row.counts.latency = LatencyHistogram::default();
    }

    /// The row, if it changed after the snapshot numbered `since`.
    pub(super) fn changed_after(&self, since: u64) -> Option<CountRow> {
        let counted = self.counted.lock();
        (counted.changed > since).then(|| counted.row.clone())
    }

    fn update(&self, change: impl FnOnce(&mut OutcomeCounts)) {
        let mut counted = self.counted.lock();
        // Read under the lock: a snapshot that has visited this counter has moved it on.
        counted.changed = self.state.sequence.load(Ordering::Acquire);
        change(&mut counted.row.counts);
    }
}
