//! Lines of a report, each with the counts of one group.

use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMicroSeconds, serde_as};
use strum::{Display, IntoStaticStr};

use super::PeriodRow;
use crate::core::{
    Outcome,
    counting::{OutcomeCounts, Resolution},
};

/// Quantiles of the latency of served requests that a line shows.
const QUANTILES: [f64; 3] = [0.50, 0.95, 0.99];

/// Whether the counts of a report are complete.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Completeness {
    /// Every request that a gateway counted is included.
    #[default]
    Exact,
    /// Requests may be missing or belong to an adjacent period; the gaps say why.
    Incomplete,
}

/// Counts of one group of requests in a period:
/// `carried + admitted = served + refused + not_run + unknown + unfinished + in_flight`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Caller, service, or service and kind.
    pub name: String,
    /// Share of all admitted requests, in percent.
    pub share_percent: f64,
    /// Share of all admitted requests, each multiplied by the weight of its kind, in percent.
    pub weighted_share_percent: f64,
    /// Requests in flight at the start of the period.
    pub carried: u64,
    /// Requests admitted in the period, including those that have not ended.
    pub admitted: u64,
    /// Requests whose complete response was sent to the caller.
    pub served: u64,
    /// Requests that a gateway rejected without sending them to an endpoint.
    pub refused: u64,
    /// Guarded actions that certainly did not run.
    pub not_run: u64,
    /// Guarded actions that may or may not have run.
    pub unknown: u64,
    /// Requests that were cut off before their response was complete.
    pub unfinished: u64,
    /// Requests in flight at the end of the period.
    pub in_flight: u64,
    /// Median latency of served requests; `None` if no latency was recorded. Written in
    /// microseconds, as are the other quantiles.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    #[serde(rename = "p50_us")]
    pub p50: Option<Duration>,
    /// 95th percentile of the latency of served requests.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    #[serde(rename = "p95_us")]
    pub p95: Option<Duration>,
    /// 99th percentile of the latency of served requests.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    #[serde(rename = "p99_us")]
    pub p99: Option<Duration>,
    /// Share of the served requests whose latency was recorded, in percent.
    pub timed_percent: f64,
    /// Coarsest resolution at which the requests of the period were counted.
    pub resolution: Resolution,
    /// Whether the counts of the period are complete.
    pub completeness: Completeness,
}

/// Values shared by all lines of a period.
#[derive(Clone, Copy, Debug)]
pub(super) struct LineContext {
    pub(super) total_admitted: u64,
    pub(super) total_weighted: u64,
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
            share_percent: percent(counts.admitted, cx.total_admitted),
            weighted_share_percent: percent(row.weighted, cx.total_weighted),
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

    /// Whether the requests in flight at the start and the admitted ones equal the ended ones and
    /// those in flight at the end.
    pub fn is_balanced(&self) -> bool {
        let ended = self.served + self.refused + self.not_run + self.unknown + self.unfinished;
        self.carried + self.admitted == ended + self.in_flight
    }
}

fn timed_percent(counts: &OutcomeCounts, served: u64) -> f64 {
    percent(counts.latency.request_count(), served)
}

/// `part` of `whole` in percent, rounded to one decimal; 0 if `whole` is 0.
fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    (part as f64 / whole as f64 * 1000.0).round() / 10.0
}
