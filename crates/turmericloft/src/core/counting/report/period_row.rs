//! Counts of one key or group in a period.

use crate::core::counting::{CountRow, OutcomeCounts};

/// Counts of one key or group in a period, with the requests in flight at its start.
#[derive(Clone, Debug, Default)]
pub(super) struct PeriodRow {
    /// Requests in flight at the period's start.
    pub(super) carried: u64,
    /// Admitted requests in the period, each multiplied by the weight of its kind; 0 until weights
    /// are applied.
    pub(super) weighted: u64,
    /// Requests that were admitted or ended in the period.
    pub(super) counts: OutcomeCounts,
}

impl PeriodRow {
    /// Difference of two states of a row; `earlier` is `None` if the row did not exist yet.
    pub(super) fn between(row: &CountRow, earlier: Option<&CountRow>) -> Self {
        Self {
            weighted: 0,
            carried: earlier.map_or(0, |e| e.counts.in_flight()),
            counts: earlier.map_or_else(|| row.counts.clone(), |e| row.counts.since(&e.counts)),
        }
    }

    /// Adds the counts of `other`.
    pub(super) fn merge(&mut self, other: &Self) {
        self.carried += other.carried;
        self.weighted += other.weighted;
        self.counts.merge(&other.counts);
    }

    /// Whether no request was in flight at the start or admitted in the period.
    pub(super) fn is_empty(&self) -> bool {
        self.carried == 0 && self.counts.admitted == 0
    }
}
