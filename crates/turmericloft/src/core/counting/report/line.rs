//! Lines of a report.

use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMicroSeconds, serde_as};
use strum::{Display, IntoStaticStr};

use super::PeriodRow;
use crate::core::{
    Outcome,
    counting::{OutcomeCounts, Resolution},
};

/// Percentiles shown of the times of served requests.
const QUANTILES: [f64; 3] = [0.50, 0.95, 0.99];

/// Whether counts are all there.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Completeness {
    /// Every request counted by a gateway is in.
    #[default]
    Exact,
    /// Requests may be missing, or may belong to the period beside.
    Incomplete,
}

/// Counts of one group of requests in a period:
/// `carried + admitted = served + refused + not_run + unknown + unfinished + in_flight`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Caller, service, or service and kind.
    pub name: String,
    /// Share of all requests admitted, in percent.
    pub share_percent: f64,
    /// The same with each request counted with the weight of its kind.
    pub weighted_share_percent: f64,
    /// Requests in flight at the period's start.
    pub carried: u64,
    /// Requests admitted in the period.
    pub admitted: u64,
    /// Requests whose whole answer reached the caller.
    pub served: u64,
    /// Requests turned away.
    pub refused: u64,
    /// Guarded actions that certainly did not run.
    pub not_run: u64,
    /// Guarded actions that may or may not have run.
    pub unknown: u64,
    /// Requests whose answer was cut off.
    pub unfinished: u64,
    /// Requests that had not ended at the period's end.
    pub in_flight: u64,
    /// Time within which half of the served requests were answered.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    #[serde(rename = "p50_us")]
    pub p50: Option<Duration>,
    /// The same for 95 in 100.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    #[serde(rename = "p95_us")]
    pub p95: Option<Duration>,
    /// The same for 99 in 100.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    #[serde(rename = "p99_us")]
    pub p99: Option<Duration>,
    /// Share of the served requests whose time was taken, in percent.
    pub timed_percent: f64,
    /// How finely was counted.
    pub resolution: Resolution,
    /// Whether the counts are all there.
    pub completeness: Completeness,
}

/// What all lines of a period share.
#[derive(Clone, Copy, Debug)]
pub(super) struct LineContext {
    pub(super) admitted_in_all: u64,
    pub(super) weighted_in_all: u64,
    pub(super) resolution: Resolution,
    pub(super) completeness: Completeness,
}

impl Line {
    pub(super) fn new(name: String, row: &PeriodRow, cx: LineContext) -> Self {
        let counts = &row.counts;
        let ended = |outcome| counts.ended_with(outcome);
        let served = ended(Outcome::Served);
        let [p50, p95, p99] = QUANTILES.map(|q| counts.latency.quantile(q));
        Self {
            name,
            share_percent: percent(counts.admitted, cx.admitted_in_all),
            weighted_share_percent: percent(row.weighted, cx.weighted_in_all),
            carried: row.carried,
            admitted: counts.admitted,
            served,
            refused: ended(Outcome::Refused),
            not_run: ended(Outcome::NotRun),
            unknown: ended(Outcome::Unknown),
            unfinished: ended(Outcome::Unfinished),
            in_flight: (row.carried + counts.admitted).saturating_sub(counts.ended_total()),
            p50,
            p95,
            p99,
            timed_percent: timed_percent(counts, served),
            resolution: cx.resolution,
            completeness: cx.completeness,
        }
    }

    /// Whether the counts add up.
    pub fn is_balanced(&self) -> bool {
        let ended = self.served + self.refused + self.not_run + self.unknown + self.unfinished;
        self.carried + self.admitted == ended + self.in_flight
    }
}

fn timed_percent(counts: &OutcomeCounts, served: u64) -> f64 {
    percent(counts.latency.request_count(), served)
}

/// `part` of `whole` in percent, to one decimal.
fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    (part as f64 / whole as f64 * 1000.0).round() / 10.0
}
