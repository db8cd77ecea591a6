//! Counts of a period over all gateways.

use std::collections::BTreeMap;

use super::{
    Gap, GapReason, History, IncarnationLifetime, IncarnationState, KindWeights, Period, PeriodRow,
};
use crate::core::counting::{CountKey, CountRow, Resolution};

/// Counts of one period, over all incarnations.
#[derive(Clone, Debug, Default)]
pub(super) struct PeriodCounts {
    /// Counts in the period by key; keys without requests are left out.
    pub(super) rows: BTreeMap<CountKey, PeriodRow>,
    /// Gaps in the counts, without duplicates.
    pub(super) gaps: Vec<Gap>,
    /// Coarsest resolution of the incarnations that counted.
    pub(super) resolution: Resolution,
    /// Oldest of the times as of which the counts of running gateways are known, in milliseconds
    /// since the Unix epoch; `None` without a running gateway.
    pub(super) as_of_ms: Option<u64>,
}

impl PeriodCounts {
    /// Counts of each of `periods`, which must be contiguous and in ascending order.
    pub(super) fn for_periods(history: &History, periods: &[Period]) -> Vec<Self> {
        let mut counts = vec![Self::default(); periods.len()];
        let Some(first) = periods.first() else {
            return counts;
        };
        let mut moments = vec![first.from_ms];
        moments.extend(periods.iter().map(|p| p.to_ms));
        for (host, incarnation) in &history.incarnations {
            let lifetime = IncarnationLifetime::new(history, host, incarnation);
            let mut remaining = counts.iter_mut().zip(periods);
            let mut previous: Option<IncarnationState> = None;
            incarnation.visit_states(&moments, |state| {
                let start = previous.replace(state.clone());
                if let Some(start) = start
                    && let Some((counts, &period)) = remaining.next()
                {
                    counts.add_incarnation(&lifetime, period, start, state);
                }
            });
        }
        for (counts, &period) in counts.iter_mut().zip(periods) {
            counts.gaps.extend(history.gaps(period));
        }
        counts
    }

    /// Sets the weighted count of each row from the weight of its kind.
    pub(super) fn apply_weights(&mut self, weights: &KindWeights) {
        for (key, row) in &mut self.rows {
            row.weighted = row.counts.admitted * weights.weight(key);
        }
    }

    fn add_incarnation(
        &mut self,
        lifetime: &IncarnationLifetime<'_>,
        period: Period,
        start: IncarnationState,
        end: &IncarnationState,
    ) {
        if lifetime.is_outside(period) {
            return;
        }
        if let Some(reason) = lifetime.gap_at_end(period, end) {
            self.add_gap(lifetime, reason);
        }
        if end.header.is_none() {
            return;
        }
        let baseline = lifetime.baseline(period, start);
        if let Some(reason) = baseline.gap {
            self.add_gap(lifetime, reason);
        }
        self.resolution = self.resolution.max(end.coarsest);
        if lifetime.is_running() {
            let as_of_ms = end.as_of_ms();
            self.as_of_ms = Some(self.as_of_ms.map_or(as_of_ms, |ms| ms.min(as_of_ms)));
        }
        for (key, row) in &end.rows {
            self.add_row(row, baseline.state.rows.get(key));
        }
    }

    fn add_row(&mut self, row: &CountRow, earlier: Option<&CountRow>) {
        let added = PeriodRow::between(row, earlier);
        if added.is_empty() {
            return;
        }
        match self.rows.get_mut(&row.key) {
            Some(sum) => sum.merge(&added),
            None => {
                self.rows.insert(row.key.clone(), added);
            }
        }
    }

    fn add_gap(&mut self, lifetime: &IncarnationLifetime<'_>, reason: GapReason) {
        let gap = Gap {
            host: Some(lifetime.host.clone()),
            reason,
            from_ms: lifetime.known_until_ms(),
        };
        if !self.gaps.contains(&gap) {
            self.gaps.push(gap);
        }
    }
}
