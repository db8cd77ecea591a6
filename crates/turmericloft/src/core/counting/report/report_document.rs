//! A report as a whole.

use std::collections::BTreeMap;

use serde::Serialize;
use strum::IntoEnumIterator;

use super::{
    Completeness, Gap, GroupBy, History, KindWeights, Line, Period, PeriodCounts, PeriodRow,
    group_by::Group, line::LineContext,
};
use crate::core::{
    Name, Outcome, Step,
    counting::{OutcomeCounts, StepCount},
};

/// Length of one window, in milliseconds.
const WINDOW_MS: u64 = 60_000;
/// Most windows in one report; they get longer in longer periods.
const MAX_WINDOWS: u64 = 60;
/// Name of the line that sums all others.
const TOTAL: &str = "total";

/// Who got what in a period.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Environment.
    pub environment: Name,
    /// What lines stand for.
    pub by: GroupBy,
    /// The period.
    pub period: Period,
    /// Counts of running gateways are known up to here, in milliseconds since the Unix epoch.
    pub as_of_ms: Option<u64>,
    /// Whether the counts are all there.
    pub completeness: Completeness,
    /// What is not known.
    pub gaps: Vec<Gap>,
    /// One line a group, in the order of their names.
    pub lines: Vec<Line>,
    /// The sum of all lines.
    pub total: Line,
    /// Where requests ended that were not served.
    pub steps: Vec<StepLine>,
    /// The period in parts; the total line of each.
    pub windows: Vec<Window>,
}

/// Requests of one group that ended at one step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepLine {
    /// Caller, service, or service and kind.
    pub name: String,
    /// How they ended.
    pub outcome: Outcome,
    /// Where they ended; `None` if it is not known.
    pub step: Option<Step>,
    /// Number of requests.
    pub requests: u64,
}

/// A part of the period.
#[derive(Clone, Debug, Serialize)]
pub struct Window {
    /// From when to when.
    pub period: Period,
    /// Counts of all requests, with resolution and completeness.
    pub total: Line,
}

impl Report {
    /// Makes a report of a period.
    pub fn build(
        history: &History,
        environment: &Name,
        by: GroupBy,
        period: Period,
        weights: &KindWeights,
    ) -> Self {
        let mut whole = PeriodCounts::of(history, &[period]);
        let mut counts = whole.pop().unwrap_or_default();
        counts.weigh(weights);
        let groups = group(&counts, by);
        let all = sum(counts.rows.values());
        let cx = context(&counts, &all);
        let lines = groups
            .iter()
            .map(|(name, row)| Line::new(name.to_string(), row, cx))
            .collect();
        let steps = groups
            .iter()
            .flat_map(|(name, row)| step_lines(name, &row.counts))
            .collect();
        Self {
            environment: environment.clone(),
            by,
            period,
            as_of_ms: counts.as_of_ms,
            completeness: cx.completeness,
            lines,
            total: Line::new(TOTAL.to_owned(), &all, cx),
            steps,
            windows: windows(history, period, weights),
            gaps: counts.gaps,
        }
    }
}

fn windows(history: &History, period: Period, weights: &KindWeights) -> Vec<Window> {
    let first_ms = history.oldest_start_ms().unwrap_or(period.to_ms);
    let known = Period {
        from_ms: period.from_ms.max(first_ms / WINDOW_MS * WINDOW_MS),
        to_ms: period.to_ms,
    };
    let periods = known.windows(WINDOW_MS, MAX_WINDOWS);
    let mut counts = PeriodCounts::of(history, &periods);
    counts.iter_mut().for_each(|c| c.weigh(weights));
    periods
        .into_iter()
        .zip(&counts)
        .map(|(period, counts)| {
            let all = sum(counts.rows.values());
            let cx = context(counts, &all);
            let total = Line::new(TOTAL.to_owned(), &all, cx);
            Window { period, total }
        })
        .collect()
}

fn context(counts: &PeriodCounts, all: &PeriodRow) -> LineContext {
    LineContext {
        admitted_in_all: all.counts.admitted,
        weighted_in_all: all.weighted,
        resolution: counts.resolution,
        completeness: if counts.gaps.is_empty() {
            Completeness::Exact
        } else {
            Completeness::Incomplete
        },
    }
}

fn group(counts: &PeriodCounts, by: GroupBy) -> BTreeMap<Group, PeriodRow> {
    let mut groups: BTreeMap<Group, PeriodRow> = BTreeMap::new();
    for (key, row) in &counts.rows {
        groups
            .entry(by.group(key))
            .and_modify(|sum| sum.add(row))
            .or_insert_with(|| row.clone());
    }
    groups
}

fn sum<'a>(rows: impl Iterator<Item = &'a PeriodRow>) -> PeriodRow {
    let mut sum = PeriodRow::default();
    rows.for_each(|row| sum.add(row));
    sum
}

/// Ends other than served, by step; those whose step is not known come last.
fn step_lines(name: &Group, counts: &OutcomeCounts) -> Vec<StepLine> {
    let line = |outcome, step, requests| StepLine {
        name: name.to_string(),
        outcome,
        step,
        requests,
    };
    let mut lines: Vec<_> = counts
        .steps
        .iter()
        .map(|s: &StepCount| line(s.outcome, Some(s.step), s.requests))
        .collect();
    for outcome in Outcome::iter().filter(|&o| o != Outcome::Served) {
        let known = lines.iter().filter(|l| l.outcome == outcome);
        let known: u64 = known.map(|l| l.requests).sum();
        let rest = counts.ended_with(outcome).saturating_sub(known);
        if rest > 0 {
            lines.push(line(outcome, None, rest));
        }
    }
    lines
}
