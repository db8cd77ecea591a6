//! Counts of a group of requests in a period.

use crate::core::counting::{CountRow, OutcomeCounts};

/// What happened in a period, and what was in flight when it began.
#[derive(Clone, Debug, Default)]
pub(super) struct PeriodRow {
    /// Requests in flight at the period's start.
    pub(super) carried: u64,
    /// Requests admitted in the period, each counted with the weight of its kind.
    pub(super) weighted: u64,
    /// What happened in the period.
    pub(super) counts: OutcomeCounts,
}

impl PeriodRow {
    /// What happened from `earlier` to `row`.
    pub(super) fn between(row: &CountRow, earlier: Option<&CountRow>) -> Self {
        Self {
            weighted: 0,
            carried: earlier.map_or(0, |e| e.counts.in_flight()),
            counts: earlier.map_or_else(|| row.counts.clone(), |e| row.counts.since(&e.counts)),
        }
    }

    /// Adds another's counts.
    pub(super) fn add(&mut self, other: &Self) {
        self.carried += other.carried;
        self.weighted += other.weighted;
        self.counts.merge(&other.counts);
    }

    /// Whether nothing was in flight and nothing happened.
    pub(super) fn is_empty(&self) -> bool {
        self.carried == 0 && self.counts.admitted == 0
    }
}
