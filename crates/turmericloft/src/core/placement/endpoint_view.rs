//! One gateway's estimate of the load, speed and failures of one endpoint.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    AttemptOutcome, DiscoveredEndpoint, EndpointState, LoadReport,
    endpoint_fullness::{EndpointFullness, may_overflow},
    received_report::{ReceivedReport, report_weight},
    service_view::{CONGESTED_SHARE, ServiceBaseline},
};
use crate::core::{decayed_mean::DecayedMean, saturating::instant_after};

/// Factor on the service time of an endpoint that has just started.
const WARMUP_SLOWDOWN: f64 = 2.0;
/// Half-life of failures and successes, in seconds.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// Weight of the prior in successes, so that a first failure does not make the rate 1.
const PRIOR_SUCCESSES: f64 = 2.0;
/// Penalty at a failure rate of 1, in multiples of the mean service time.
const FAILURE_PENALTY: f64 = 8.0;
/// Time after a request broke off within which an endpoint's report of free slots is no reason to
/// prefer it to others.
const BROKEN_OFF_FOR: Duration = Duration::from_secs(2);
/// Length of the first ejection after an endpoint was unreachable or did not respond.
const INITIAL_EJECTION: Duration = Duration::from_millis(700);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(6);
/// Consecutive failures that eject an endpoint which still accepts connections.
const FAILURES_TO_EJECT: u32 = 3;
/// Multiple of the service's mean slowdown beyond which a pending request shows a slow endpoint.
const OVERDUE_FACTOR: f64 = 1.3;
/// Time after which a pending probe adds a penalty.
const PROBE_OVERDUE_AFTER: Duration = Duration::from_millis(15);
/// Penalty of an overdue probe, in multiples of the mean service time.
const PROBE_OVERDUE_PENALTY: f64 = 4.0;
/// Half-life of an endpoint's latency ratios, in seconds.
const LATENCY_RATIO_HALF_LIFE_S: f64 = 2.0;
/// Weight of the prior, a latency ratio of 1, in samples.
const PRIOR_LATENCY_RATIOS: f64 = 2.0;
/// Range to which each latency ratio is clamped.
const LATENCY_RATIO_RANGE: (f64, f64) = (0.5, 8.0);

#[derive(Clone, Debug)]
pub(super) struct EndpointView {
    pub(super) endpoint: Arc<DiscoveredEndpoint>,
    warmup_ends_at: Instant,
    attempt_starts: Vec<Instant>,
    last_report: Option<ReceivedReport>,
    successes: f64,
    failures: f64,
    outcomes_updated_at: Instant,
    consecutive_failures: u32,
    /// When a request last ended without a complete response.
    last_broken_at: Option<Instant>,
    ejections: u32,
    ejected_until: Option<Instant>,
    probe_started_at: Option<Instant>,
    epoch: Instant,
    /// Measured latency over the latency expected from load reports.
    latency_ratios: DecayedMean,
    fullness: EndpointFullness,
    /// Whether another endpoint was found at the address.
    is_replaced: bool,
    /// Whether its zone is evacuated.
    pub(super) is_evacuated: bool,
}

impl EndpointView {
    pub(super) fn new(now: Instant, endpoint: DiscoveredEndpoint) -> Self {
        Self {
            warmup_ends_at: instant_after(now, endpoint.warmup_left),
            endpoint: Arc::new(endpoint),
            attempt_starts: Vec::new(),
            last_report: None,
            successes: 0.0,
            failures: 0.0,
            outcomes_updated_at: now,
            consecutive_failures: 0,
            last_broken_at: None,
            ejections: 0,
            ejected_until: None,
            probe_started_at: None,
            epoch: now,
            latency_ratios: DecayedMean::new(LATENCY_RATIO_HALF_LIFE_S),
            fullness: EndpointFullness::default(),
            is_replaced: false,
            is_evacuated: false,
        }
    }

    /// Applies a change found by discovery. A new incarnation starts without history, except for
    /// the attempts in flight.
    pub(super) fn update(&mut self, now: Instant, endpoint: &DiscoveredEndpoint) {
        let is_same_incarnation = self.endpoint.started_at_ms == endpoint.started_at_ms
            && self.endpoint.address == endpoint.address;
        if !is_same_incarnation {
            let attempt_starts = std::mem::take(&mut self.attempt_starts);
            *self = Self::new(now, endpoint.clone());
            self.attempt_starts = attempt_starts;
            return;
        }
        self.warmup_ends_at = instant_after(now, endpoint.warmup_left);
        self.endpoint = Arc::new(endpoint.clone());
    }

    pub(super) fn accepts_requests(&self) -> bool {
        self.is_ready() && !self.is_evacuated
    }

    /// Whether it would accept requests if its zone were not evacuated.
    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready && !self.is_replaced
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.attempt_starts.len() as u32
    }

    pub(super) fn record_attempt_start(&mut self, now: Instant) {
        self.attempt_starts.push(now);
    }

    /// Records the end of an attempt of this gateway that began at `started`.
    pub(super) fn record_attempt_end(
        &mut self,
        now: Instant,
        started: Instant,
        outcome: AttemptOutcome,
    ) {
        if let Some(i) = self.attempt_starts.iter().position(|at| *at == started) {
            self.attempt_starts.swap_remove(i);
        }
        self.decay_outcomes(now);
        if matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed) {
            self.fullness.record_served(now);
        }
        match outcome {
            AttemptOutcome::TimedOut if self.fullness.record_silence(now, started) => {
                self.failures += 1.0;
            }
            AttemptOutcome::Answered => {
                self.successes += 1.0;
                self.consecutive_failures = 0;
                self.ejections = 0;
            }
            AttemptOutcome::Failed | AttemptOutcome::Broken => {
                if outcome == AttemptOutcome::Broken {
                    self.last_broken_at = Some(now);
                }
                self.failures += 1.0;
                self.consecutive_failures += 1;
                if self.consecutive_failures >= FAILURES_TO_EJECT {
                    self.eject(now);
                }
            }
            AttemptOutcome::Unreachable | AttemptOutcome::TimedOut => {
                self.failures += 1.0;
                self.consecutive_failures += 1;
                self.eject(now);
            }
            AttemptOutcome::OtherInstance => self.is_replaced = true,
            AttemptOutcome::Shed | AttemptOutcome::Abandoned => {}
        }
    }

    /// Records a load report, unless a newer one is known.
    pub(super) fn record_report(&mut self, at: Instant, load: LoadReport) {
        self.fullness.record_report(&load);
        let is_newer = self.last_report.is_none_or(|r| r.received_at <= at);
        if is_newer {
            self.last_report = Some(ReceivedReport {
                received_at: at,
                load,
                own_in_flight: self.in_flight(),
            });
        }
    }

    /// Records that an endpoint rejected a request as full without a load report.
    pub(super) fn record_full(&mut self, now: Instant) {
        let slots = self.endpoint.slots;
        let load = LoadReport {
            running: slots,
            waiting: slots.saturating_mul(2),
            slots,
            slowdown: None,
        };
        self.record_report(now, load);
    }

    /// Requests expected at the endpoint now: those of other gateways, and those in flight from
    /// this one.
    pub(super) fn expected_requests(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let other_requests = match &self.last_report {
            Some(r) => {
                let other_requests = f64::from(r.other_requests());
                let weight = report_weight(now, r.received_at);
                weight * other_requests + (1.0 - weight) * baseline.other_requests
            }
            None => baseline.other_requests,
        };
        other_requests + f64::from(self.in_flight())
    }

    /// Whether the endpoint may be unable to queue one more request, by what is known of it.
    pub(super) fn may_be_full(&self, now: Instant) -> bool {
        let recent = self.last_report.filter(|r| r.is_recent(now));
        let others = recent.map_or(0, |r| r.other_requests());
        self.fullness.is_full(now) || may_overflow(self.endpoint.slots, self.in_flight(), others)
    }

    /// Expected latency of a request sent now, in seconds.
    pub(super) fn expected_latency_s(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let service_time = self.service_time_s(now, baseline);
        self.queueing_delay(now, baseline) * service_time + service_time
    }

    /// Latency of a request sent now if only the queue delays it, in seconds.
    pub(super) fn min_latency_s(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        self.queueing_delay(now, baseline) * baseline.service_time_s + baseline.service_time_s
    }

    /// Penalty for failures and an overdue probe, in seconds.
    pub(super) fn penalty_s(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let is_overdue = |at: Instant| now.saturating_duration_since(at) > PROBE_OVERDUE_AFTER;
        let overdue_probes = f64::from(u8::from(self.probe_started_at.is_some_and(is_overdue)));
        (self.failure_rate(now) * FAILURE_PENALTY + overdue_probes * PROBE_OVERDUE_PENALTY)
            * baseline.service_time_s
    }

    /// Age of the last report; `None` without one.
    pub(super) fn report_age(&self, now: Instant) -> Option<Duration> {
        let received_at = self.last_report?.received_at;
        Some(now.saturating_duration_since(received_at))
    }

    /// Slowdown of the last report if that is younger than `age`.
    pub(super) fn recent_slowdown(&self, now: Instant, age: Duration) -> Option<f64> {
        let report = self.last_report.filter(|r| r.is_younger(now, age))?;
        report.load.slowdown
    }

    /// Whether the last report is younger than `age` and shows a free slot and normal speed.
    pub(super) fn is_known_available(&self, now: Instant, age: Duration) -> bool {
        let report = self.trusted_report(now, age);
        report.is_some_and(|r| r.requests(self.in_flight()) < r.load.slots)
    }

    /// Whether the last report is younger than `age` and shows an empty queue and normal speed.
    pub(super) fn has_empty_queue(&self, now: Instant, age: Duration) -> bool {
        let report = self.trusted_report(now, age);
        report.is_some_and(|r| r.requests(self.in_flight()) <= r.load.slots)
    }

    /// Report younger than `age` and of normal speed. `None` if a request broke off lately: an endpoint that breaks
    /// requests off at once always has free slots.
    fn trusted_report(&self, now: Instant, age: Duration) -> Option<ReceivedReport> {
        let broke_off = |at: Instant| now.saturating_duration_since(at) < BROKEN_OFF_FOR;
        let is_trusted = !self.last_broken_at.is_some_and(broke_off);
        let report = self.last_report.filter(|_| is_trusted)?;
        (report.is_younger(now, age) && report.has_normal_speed()).then_some(report)
    }

    /// Whether one more request fills more slots than the endpoint can use at its normal speed.
    pub(super) fn is_congested(&self, now: Instant, baseline: &ServiceBaseline) -> bool {
        let slots = f64::from(self.endpoint.slots.max(1));
        self.expected_requests(now, baseline) + 1.0 > slots * CONGESTED_SHARE
    }

    pub(super) fn has_recent_report(&self, now: Instant, age: Duration) -> bool {
        self.last_report.is_some_and(|r| r.is_younger(now, age))
    }

    pub(super) fn has_pending_probe(&self) -> bool {
        self.probe_started_at.is_some()
    }

    pub(super) fn record_probe_start(&mut self, now: Instant) {
        self.probe_started_at.get_or_insert(now);
    }

    /// Records the end of a probe. An endpoint that did not respond is ejected.
    pub(super) fn record_probe_end(&mut self, now: Instant, has_responded: bool) {
        self.probe_started_at = None;
        if !has_responded {
            self.decay_outcomes(now);
            self.failures += 1.0;
            self.eject(now);
        }
    }

    /// Records the ratio of measured to expected latency of a response.
    pub(super) fn record_latency_ratio(&mut self, now: Instant, ratio: f64) {
        let s = now.saturating_duration_since(self.epoch).as_secs_f64();
        self.latency_ratios
            .add(s, ratio.clamp(LATENCY_RATIO_RANGE.0, LATENCY_RATIO_RANGE.1));
    }

    fn mean_latency_ratio(&self, now: Instant) -> f64 {
        let s = now.saturating_duration_since(self.epoch).as_secs_f64();
        let (weight, sum) = self.latency_ratios.weight_and_sum_at(s);
        (sum + PRIOR_LATENCY_RATIOS) / (weight + PRIOR_LATENCY_RATIOS)
    }

    /// Queueing delay of a request sent now, in service times.
    fn queueing_delay(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let slots = f64::from(self.endpoint.slots.max(1));
        (self.expected_requests(now, baseline) + 1.0 - slots).max(0.0) / slots
    }

    fn service_time_s(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let mut service_time = baseline.service_time_s * self.mean_latency_ratio(now).max(1.0);
        if now < self.warmup_ends_at {
            service_time *= WARMUP_SLOWDOWN;
        }
        if self.is_congested(now, baseline) {
            service_time *= baseline.congestion_slowdown;
        }
        service_time * self.expected_slowdown(now, baseline)
    }

    fn expected_slowdown(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let reported = self
            .last_report
            .and_then(|r| Some((r.received_at, r.load.slowdown?)));
        let mut slowdown = match reported {
            Some((at, reported)) => {
                let weight = report_weight(now, at);
                weight * reported + (1.0 - weight) * baseline.slowdown
            }
            None => baseline.slowdown,
        };
        let is_recently_reported = reported.is_some_and(|(at, _)| report_weight(now, at) > 0.8);
        if let Some(oldest) = self
            .attempt_starts
            .iter()
            .min()
            .filter(|_| !is_recently_reported)
        {
            let waited = now.saturating_duration_since(*oldest).as_secs_f64();
            let lower_bound = waited / baseline.service_time_s;
            if lower_bound > OVERDUE_FACTOR * baseline.slowdown {
                slowdown = slowdown.max(lower_bound);
            }
        }
        slowdown
    }

    fn failure_rate(&self, now: Instant) -> f64 {
        let decay = outcome_decay(now, self.outcomes_updated_at);
        let (failures, successes) = (self.failures * decay, self.successes * decay);
        failures / (failures + successes + PRIOR_SUCCESSES)
    }

    fn decay_outcomes(&mut self, now: Instant) {
        let decay = outcome_decay(now, self.outcomes_updated_at);
        self.failures *= decay;
        self.successes *= decay;
        self.outcomes_updated_at = now;
    }

    fn eject(&mut self, now: Instant) {
        let duration = INITIAL_EJECTION * 2_u32.pow(self.ejections.min(8));
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
        self.ejections += 1;
    }
}

fn outcome_decay(now: Instant, at: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    (-age.as_secs_f64() / FAILURE_HALF_LIFE_S).exp2()
}
