//! One gateway's estimates of a service as a whole.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    InstanceId, LoadReport, ProbeBudget, RetryBudget, endpoint_view::EndpointView,
    urgent_requests::UrgentRequests, zone_room::ZoneRoom,
};
use crate::core::decayed_mean::DecayedMean;

/// Half-life of the means of the baseline, in seconds.
const BASELINE_HALF_LIFE_S: f64 = 5.0;
/// Prior of the service time, as a share of the target latency.
const INITIAL_SERVICE_TIME_SHARE: f64 = 0.4;
/// Prior of the slowdown of an endpoint.
const INITIAL_SLOWDOWN: f64 = 1.5;
/// Prior of the requests of other gateways at an endpoint.
const INITIAL_OTHER_REQUESTS: f64 = 0.5;
/// Weight of the prior of the service time, in responses.
const PRIOR_RESPONSES: f64 = 1.0;
/// Weight of the priors of slowdown and other requests, in load reports.
const PRIOR_REPORTS: f64 = 3.0;
/// Factor by which one sample may differ from the expected service time. Samples are clamped
/// because some requests get a response without any processing.
const SERVICE_TIME_RANGE: f64 = 4.0;

/// Share of the slots beyond which an endpoint counts as congested.
pub(super) const CONGESTED_SHARE: f64 = 0.8;
/// Half-life of the latency ratios, in seconds.
const CONGESTION_HALF_LIFE_S: f64 = 20.0;
/// Largest latency ratio recorded: beyond it the delay has another cause than congestion.
const MAX_LATENCY_RATIO: f64 = 4.0;
/// Weight of the prior of the congested latency ratio, which is the uncongested one, in samples.
const PRIOR_CONGESTED: f64 = 3.0;

/// Means of a service, which are the estimate for an endpoint without reports of its own.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceBaseline {
    /// Service time of a request at an endpoint that is not slowed down, in seconds.
    pub(super) service_time_s: f64,
    /// Slowdown of endpoints; 1 is normal speed.
    pub(super) slowdown: f64,
    /// Requests of other gateways at an endpoint.
    pub(super) other_requests: f64,
    /// Factor on the service time at a congested endpoint; at least 1.
    pub(super) congestion_slowdown: f64,
}

#[derive(Clone, Debug)]
pub(super) struct ServiceView {
    epoch: Instant,
    /// Ordered by identity, so that the same random numbers lead to the same choices.
    pub(super) endpoints: BTreeMap<InstanceId, EndpointView>,
    pub(super) retry_budget: RetryBudget,
    pub(super) probe_budget: ProbeBudget,
    pub(super) urgent: UrgentRequests,
    /// Use of the slots of the own zone.
    pub(super) zone_room: ZoneRoom,
    service_time: DecayedMean,
    slowdown: DecayedMean,
    other_requests: DecayedMean,
    /// Measured latency over the latency expected without congestion, at uncongested endpoints.
    uncongested_latency_ratio: DecayedMean,
    /// The same ratio at congested endpoints.
    congested_latency_ratio: DecayedMean,
    has_no_load_reports: bool,
}

impl ServiceView {
    pub(super) fn new(now: Instant, retry_budget: RetryBudget) -> Self {
        Self {
            epoch: now,
            endpoints: BTreeMap::new(),
            retry_budget,
            probe_budget: ProbeBudget::new(now),
            urgent: UrgentRequests::default(),
            zone_room: ZoneRoom::new(now),
            service_time: DecayedMean::new(BASELINE_HALF_LIFE_S),
            slowdown: DecayedMean::new(BASELINE_HALF_LIFE_S),
            other_requests: DecayedMean::new(BASELINE_HALF_LIFE_S),
            uncongested_latency_ratio: DecayedMean::new(CONGESTION_HALF_LIFE_S),
            congested_latency_ratio: DecayedMean::new(CONGESTION_HALF_LIFE_S),
            has_no_load_reports: false,
        }
    }

    /// Whether endpoints send load reports. Assumed until a probe response comes without one, and
    /// again after the next report.
    pub(super) fn has_load_reports(&self) -> bool {
        !self.has_no_load_reports
    }

    /// Records that an endpoint responded to a probe without a load report.
    pub(super) fn record_missing_report(&mut self) {
        self.has_no_load_reports = true;
    }

    /// Baseline for requests with this target latency.
    pub(super) fn baseline(&self, target: Duration) -> ServiceBaseline {
        let prior = target.as_secs_f64() * INITIAL_SERVICE_TIME_SHARE;
        ServiceBaseline {
            service_time_s: self
                .service_time
                .mean_with_prior(prior, PRIOR_RESPONSES)
                .max(0.001),
            slowdown: self
                .slowdown
                .mean_with_prior(INITIAL_SLOWDOWN, PRIOR_REPORTS),
            other_requests: self
                .other_requests
                .mean_with_prior(INITIAL_OTHER_REQUESTS, PRIOR_REPORTS),
            congestion_slowdown: self.congestion_slowdown(),
        }
    }

    fn congestion_slowdown(&self) -> f64 {
        let uncongested = self.uncongested_latency_ratio.mean_or(1.0).max(0.1);
        let (weight, sum) = self.congested_latency_ratio.last_weight_and_sum();
        ((sum + PRIOR_CONGESTED * uncongested) / (weight + PRIOR_CONGESTED) / uncongested).max(1.0)
    }

    /// Records the ratio of measured latency to the latency expected without congestion.
    pub(super) fn record_latency_ratio(&mut self, now: Instant, is_congested: bool, ratio: f64) {
        let s = now.saturating_duration_since(self.epoch).as_secs_f64();
        let ratio = ratio.min(MAX_LATENCY_RATIO);
        match is_congested {
            true => self.congested_latency_ratio.add(s, ratio),
            false => self.uncongested_latency_ratio.add(s, ratio),
        }
    }

    /// Records a load report of an endpoint with `own_in_flight` requests of this gateway.
    pub(super) fn record_report(&mut self, now: Instant, own_in_flight: u32, load: &LoadReport) {
        let s = now.saturating_duration_since(self.epoch).as_secs_f64();
        self.has_no_load_reports = false;
        let other_requests = f64::from(load.requests()) - f64::from(own_in_flight);
        self.other_requests.add(s, other_requests.max(0.0));
        if let Some(slowdown) = load.slowdown {
            self.slowdown.add(s, slowdown);
        }
    }

    /// Records the latency of a response whose endpoint ran `slowdown` times slower than normal
    /// when the request was placed.
    pub(super) fn record_response_time(
        &mut self,
        now: Instant,
        latency: Duration,
        slowdown: f64,
        expected_service_time_s: f64,
    ) {
        let s = now.saturating_duration_since(self.epoch).as_secs_f64();
        let service_time = latency.as_secs_f64() / slowdown.max(1.0);
        let range = (
            expected_service_time_s / SERVICE_TIME_RANGE,
            expected_service_time_s * SERVICE_TIME_RANGE,
        );
        self.service_time
            .add(s, service_time.clamp(range.0, range.1));
    }

    pub(super) fn view(&self, id: &Arc<str>) -> Option<&EndpointView> {
        self.endpoints.get(id)
    }
}
