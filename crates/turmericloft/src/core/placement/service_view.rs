//! What one gateway believes about a service as a whole.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{InstanceId, LoadReport, ProbeBudget, RetryBudget, endpoint_view::EndpointView};
use crate::core::decayed_mean::DecayedMean;

/// Half-life of the service's means, in seconds.
const MEANS_HALF_LIFE_S: f64 = 5.0;
/// Share of the target latency that work is taken to need before the first answers.
const INITIAL_WORK_SHARE: f64 = 0.4;
/// Slowdown expected of an endpoint that told nothing, before the first reports.
const INITIAL_SLOWDOWN: f64 = 1.5;

/// Requests of other gateways at an endpoint that told nothing, before the first reports.
const INITIAL_OTHERS: f64 = 0.5;
/// Answers and reports that the beliefs before the first ones count for.
const PRIOR_ANSWERS: f64 = 1.0;
const PRIOR_REPORTS: f64 = 3.0;
/// Factor by which one answer may differ from the usual work time: some requests are answered
/// without work.
const WORK_RANGE: f64 = 4.0;

/// Share of the slots beyond which an endpoint counts as crowded.
pub(super) const CONGESTED_SHARE: f64 = 0.8;
/// Half-life of what is known of crowded endpoints, in seconds.
const CROWDING_HALF_LIFE_S: f64 = 20.0;
/// Largest sample of a pace: beyond it something else was wrong.
const MAX_PACE: f64 = 4.0;
/// Answers of crowded endpoints at their usual speed that are taken to have come.
const PRIOR_CROWDED: f64 = 3.0;

/// What is usual in a service: the belief about an endpoint that nothing is known of.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceBaseline {
    /// Work time of a request at an endpoint that is not slowed, in seconds.
    pub(super) service_time_s: f64,
    /// Slowdown of endpoints.
    pub(super) slowdown: f64,
    /// Requests of other gateways at an endpoint.
    pub(super) other_requests: f64,
    /// How much longer work takes at a crowded endpoint; 1 and more.
    pub(super) congestion_slowdown: f64,
}

/// One service.
#[derive(Clone, Debug)]
pub(super) struct ServiceView {
    epoch: Instant,
    /// Ordered, so that the same draws lead to the same choices.
    pub(super) endpoints: BTreeMap<InstanceId, EndpointView>,
    pub(super) budget: RetryBudget,
    pub(super) probe_budget: ProbeBudget,
    work: DecayedMean,
    slowdown: DecayedMean,
    other_requests: DecayedMean,
    /// Times of answers against what was expected of an endpoint that is not crowded.
    calm_pace: DecayedMean,
    crowded_pace: DecayedMean,
    silent_on_load: bool,
}

impl ServiceView {
    pub(super) fn new(now: Instant, budget: RetryBudget) -> Self {
        Self {
            epoch: now,
            endpoints: BTreeMap::new(),
            budget,
            probe_budget: ProbeBudget::new(now),
            work: DecayedMean::new(MEANS_HALF_LIFE_S),
            slowdown: DecayedMean::new(MEANS_HALF_LIFE_S),
            other_requests: DecayedMean::new(MEANS_HALF_LIFE_S),
            calm_pace: DecayedMean::new(CROWDING_HALF_LIFE_S),
            crowded_pace: DecayedMean::new(CROWDING_HALF_LIFE_S),
            silent_on_load: false,
        }
    }

    /// Whether endpoints tell their load, as far as is known.
    pub(super) fn has_load_reports(&self) -> bool {
        !self.silent_on_load
    }

    /// An endpoint answered a probe without telling its load.
    pub(super) fn record_missing_report(&mut self) {
        self.silent_on_load = true;
    }

    /// What is usual, for requests with this target latency.
    pub(super) fn baseline(&self, target: Duration) -> ServiceBaseline {
        let prior = target.as_secs_f64() * INITIAL_WORK_SHARE;
        ServiceBaseline {
            service_time_s: self.work.mean_with_prior(prior, PRIOR_ANSWERS).max(0.001),
            slowdown: self
                .slowdown
                .mean_with_prior(INITIAL_SLOWDOWN, PRIOR_REPORTS),
            other_requests: self
                .other_requests
                .mean_with_prior(INITIAL_OTHERS, PRIOR_REPORTS),
            congestion_slowdown: self.congestion_slowdown(),
        }
    }

    fn congestion_slowdown(&self) -> f64 {
        let calm = self.calm_pace.mean_or(1.0).max(0.1);
        let (weight, sum) = self.crowded_pace.last_weight_and_sum();
        ((sum + PRIOR_CROWDED * calm) / (weight + PRIOR_CROWDED) / calm).max(1.0)
    }

    /// Takes in how long an answer took against what a calm endpoint would have needed.
    pub(super) fn record_latency_ratio(&mut self, now: Instant, crowded: bool, ratio: f64) {
        let s = now.saturating_duration_since(self.epoch).as_secs_f64();
        let ratio = ratio.min(MAX_PACE);
        match crowded {
            true => self.crowded_pace.add(s, ratio),
            false => self.calm_pace.add(s, ratio),
        }
    }

    /// Takes in a load report.
    pub(super) fn record_report(&mut self, now: Instant, own: u32, load: &LoadReport) {
        let s = now.saturating_duration_since(self.epoch).as_secs_f64();
        self.silent_on_load = false;
        let other_requests = f64::from(load.running + load.waiting) - f64::from(own);
        self.other_requests.add(s, other_requests.max(0.0));
        if let Some(slowdown) = load.slowdown {
            self.slowdown.add(s, slowdown);
        }
    }

    /// Takes in the latency of an answer whose endpoint was `slowdown` times slower than usual when
    /// the request was placed, and where `usual_s` seconds of work were expected.
    pub(super) fn record_response_time(
        &mut self,
        now: Instant,
        latency: Duration,
        slowdown: f64,
        usual_s: f64,
    ) {
        let s = now.saturating_duration_since(self.epoch).as_secs_f64();
        let work = latency.as_secs_f64() / slowdown.max(1.0);
        let range = (usual_s / WORK_RANGE, usual_s * WORK_RANGE);
        self.work.add(s, work.clamp(range.0, range.1));
    }

    pub(super) fn view(&self, id: &Arc<str>) -> Option<&EndpointView> {
        self.endpoints.get(id)
    }
}
