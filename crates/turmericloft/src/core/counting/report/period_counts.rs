//! Counts of a period.

use std::collections::BTreeMap;

use super::{
    Gap, GapReason, History, IncarnationState, KindWeights, KnownIncarnation, Period, PeriodRow,
};
use crate::core::counting::{CountKey, CountRow, Resolution};

/// What is known of one period, over all incarnations.
#[derive(Clone, Debug, Default)]
pub(super) struct PeriodCounts {
    /// Counts by key.
    pub(super) rows: BTreeMap<CountKey, PeriodRow>,
    /// What is not known.
    pub(super) gaps: Vec<Gap>,
    /// Coarsest resolution of the incarnations that counted.
    pub(super) resolution: Resolution,
    /// Oldest of the moments as of which the running gateways are known; `None` without one.
    pub(super) as_of_ms: Option<u64>,
}

impl PeriodCounts {
    /// Counts of each of `periods`, which follow on each other.
    pub(super) fn of(history: &History, periods: &[Period]) -> Vec<Self> {
        let mut counts = vec![Self::default(); periods.len()];
        let Some(first) = periods.first() else {
            return counts;
        };
        let mut moments = vec![first.from_ms];
        moments.extend(periods.iter().map(|p| p.to_ms));
        for (host, incarnation) in &history.incarnations {
            let known = KnownIncarnation::new(history, host, incarnation);
            let mut slots = counts.iter_mut().zip(periods);
            let mut before: Option<IncarnationState> = None;
            incarnation.at_each(&moments, |state| {
                let start = before.replace(state.clone());
                if let Some(start) = start
                    && let Some((counts, &period)) = slots.next()
                {
                    counts.add(&known, period, start, state);
                }
            });
        }
        for (counts, &period) in counts.iter_mut().zip(periods) {
            counts.gaps.extend(history.gaps(period));
        }
        counts
    }

    /// Counts each request with the weight of its kind.
    pub(super) fn weigh(&mut self, weights: &KindWeights) {
        for (key, row) in &mut self.rows {
            row.weighted = row.counts.admitted * weights.weight(key);
        }
    }

    fn add(
        &mut self,
        known: &KnownIncarnation<'_>,
        period: Period,
        start: IncarnationState,
        end: &IncarnationState,
    ) {
        if known.is_outside(period) {
            return;
        }
        if let Some(reason) = known.gap_at_end(period, end) {
            self.note_gap(known, reason);
        }
        if end.header.is_none() {
            return;
        }
        let base = known.base(period, start);
        if let Some(reason) = base.gap {
            self.note_gap(known, reason);
        }
        self.resolution = self.resolution.max(end.coarsest);
        if known.is_running() {
            let as_of_ms = end.as_of_ms();
            self.as_of_ms = Some(self.as_of_ms.map_or(as_of_ms, |ms| ms.min(as_of_ms)));
        }
        for (key, row) in &end.rows {
            self.add_row(row, base.state.rows.get(key));
        }
    }

    fn add_row(&mut self, row: &CountRow, earlier: Option<&CountRow>) {
        let more = PeriodRow::between(row, earlier);
        if more.is_empty() {
            return;
        }
        match self.rows.get_mut(&row.key) {
            Some(sum) => sum.add(&more),
            None => {
                self.rows.insert(row.key.clone(), more);
            }
        }
    }

    fn note_gap(&mut self, known: &KnownIncarnation<'_>, reason: GapReason) {
        let gap = Gap {
            host: Some(known.host.clone()),
            reason,
            from_ms: known.known_to_ms(),
        };
        if !self.gaps.contains(&gap) {
            self.gaps.push(gap);
        }
    }
}
