//! The report of a period.

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

/// Minimum length of a window, in milliseconds.
const WINDOW_MS: u64 = 60_000;
/// Number of windows above which they are made longer.
const MAX_WINDOWS: u64 = 60;
/// Name of the line with the sum of all groups.
const TOTAL: &str = "total";

/// Counts of the requests of an environment in a period, by group.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Environment whose records were read.
    pub environment: Name,
    /// Criterion by which the lines are grouped.
    pub by: GroupBy,
    /// Period that the report covers.
    pub period: Period,
    /// Time up to which the counts of all running gateways are known, in milliseconds since the
    /// Unix epoch; `None` without a running gateway.
    pub as_of_ms: Option<u64>,
    /// Whether the counts of the period are complete.
    pub completeness: Completeness,
    /// Gaps in the counts; empty if they are complete.
    pub gaps: Vec<Gap>,
    /// One line per group, sorted by group.
    pub lines: Vec<Line>,
    /// Sum of all lines.
    pub total: Line,
    /// Requests that ended with another outcome than served, by group, outcome and step.
    pub steps: Vec<StepLine>,
    /// Windows of the period, each with its total line.
    pub windows: Vec<Window>,
}

/// Requests of one group that ended with one outcome at one step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepLine {
    /// Caller, service, or service and kind.
    pub name: String,
    /// Outcome of the requests; never served.
    pub outcome: Outcome,
    /// Step at which the requests ended; `None` if it is unknown.
    pub step: Option<Step>,
    /// Number of requests.
    pub requests: u64,
}

/// A part of the period of a report.
#[derive(Clone, Debug, Serialize)]
pub struct Window {
    /// Start and end of the window.
    pub period: Period,
    /// Counts of all requests in the window, with their resolution and completeness.
    pub total: Line,
}

impl Report {
    /// Builds the report of `period` from the records in `history`.
    pub fn build(
        history: &History,
        environment: &Name,
        by: GroupBy,
        period: Period,
        weights: &KindWeights,
    ) -> Self {
        let mut periods = PeriodCounts::for_periods(history, &[period]);
        let mut counts = periods.pop().unwrap_or_default();
        counts.apply_weights(weights);
        let groups = group_rows(&counts, by);
        let total = sum_rows(counts.rows.values());
        let cx = line_context(&counts, &total);
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
            total: Line::new(TOTAL.to_owned(), &total, cx),
            steps,
            windows: windows(history, period, weights),
            gaps: counts.gaps,
        }
    }
}

fn windows(history: &History, period: Period, weights: &KindWeights) -> Vec<Window> {
    let first_ms = history.oldest_start_ms().unwrap_or(period.to_ms);
    let recorded = Period {
        from_ms: period.from_ms.max(first_ms / WINDOW_MS * WINDOW_MS),
        to_ms: period.to_ms,
    };
    let periods = recorded.windows(WINDOW_MS, MAX_WINDOWS);
    let mut counts = PeriodCounts::for_periods(history, &periods);
    counts.iter_mut().for_each(|c| c.apply_weights(weights));
    periods
        .into_iter()
        .zip(&counts)
        .map(|(period, counts)| {
            let sum = sum_rows(counts.rows.values());
            let cx = line_context(counts, &sum);
            let total = Line::new(TOTAL.to_owned(), &sum, cx);
            Window { period, total }
        })
        .collect()
}

fn line_context(counts: &PeriodCounts, total: &PeriodRow) -> LineContext {
    LineContext {
        total_admitted: total.counts.admitted,
        total_weighted: total.weighted,
        resolution: counts.resolution,
        completeness: if counts.gaps.is_empty() {
            Completeness::Exact
        } else {
            Completeness::Incomplete
        },
    }
}

fn group_rows(counts: &PeriodCounts, by: GroupBy) -> BTreeMap<Group, PeriodRow> {
    let mut groups: BTreeMap<Group, PeriodRow> = BTreeMap::new();
    for (key, row) in &counts.rows {
        groups
            .entry(by.group(key))
            .and_modify(|sum| sum.merge(row))
            .or_insert_with(|| row.clone());
    }
    groups
}

fn sum_rows<'a>(rows: impl Iterator<Item = &'a PeriodRow>) -> PeriodRow {
    let mut sum = PeriodRow::default();
    rows.for_each(|row| sum.merge(row));
    sum
}

/// Requests that ended with another outcome than served, by step. Requests whose step is unknown
/// follow at the end.
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
        let with_step = lines.iter().filter(|l| l.outcome == outcome);
        let with_step: u64 = with_step.map(|l| l.requests).sum();
        let without_step = counts.ended_with(outcome).saturating_sub(with_step);
        if without_step > 0 {
            lines.push(line(outcome, None, without_step));
        }
    }
    lines
}
