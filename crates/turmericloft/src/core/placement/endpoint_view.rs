//! What one gateway believes about one endpoint.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    AttemptOutcome, DiscoveredEndpoint, EndpointState, LoadReport,
    service_view::{CONGESTED_SHARE, ServiceBaseline},
};
use crate::core::decayed_mean::DecayedMean;

/// Time in which a load report loses most of its worth: slowness and queues change within it.
const REPORT_LIFE: Duration = Duration::from_millis(400);
/// How much longer work takes at an endpoint that has just started.
const WARMUP_SLOWDOWN: f64 = 2.0;
/// Time in which a failure loses half of its weight, in seconds.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// Answers that a new endpoint is taken to have given, against its first failures.
const PRIOR_ANSWERS: f64 = 2.0;
/// Work times that one expected failure counts for.
const FAILURE_COST: f64 = 8.0;
/// Slowdown below which an endpoint counts as being at its usual speed.
const IDLE_SLOWDOWN: f64 = 1.5;
/// First time without requests after an endpoint could not be reached or fell silent.
const FIRST_EJECTION: Duration = Duration::from_millis(700);
/// Longest time without requests.
const MAX_EJECTION: Duration = Duration::from_secs(6);
/// Failures in a row that eject an endpoint at which connections still work.
const FAILURES_TO_EJECT: u32 = 3;
/// Work times beyond the usual after which an own unanswered request tells of slowness.
const OVERDUE: f64 = 1.3;
/// Time after which an unanswered probe speaks against an endpoint.
const PROBE_OVERDUE: Duration = Duration::from_millis(15);
/// Work times that an unanswered probe counts for.
const PROBE_OVERDUE_COST: f64 = 4.0;
/// Half-life of the pace of an endpoint, in seconds.
const PACE_HALF_LIFE_S: f64 = 2.0;
/// Answers at the usual pace that an endpoint is taken to have given.
const PRIOR_PACE: f64 = 2.0;
/// Bounds of one sample of the pace.
const PACE_RANGE: (f64, f64) = (0.5, 8.0);

#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Instant,
    load: LoadReport,
    /// Own requests in flight when it was told.
    own: u32,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointView {
    pub(super) endpoint: Arc<DiscoveredEndpoint>,
    warm_at: Instant,
    started: Vec<Instant>,
    reported: Option<Reported>,
    answers: f64,
    failures: f64,
    outcomes_at: Instant,
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probed_at: Option<Instant>,
    epoch: Instant,
    /// Time of answers against what the reports let expect.
    pace: DecayedMean,
    /// The address was found to belong to another endpoint.
    replaced: bool,
}

impl EndpointView {
    pub(super) fn new(now: Instant, endpoint: DiscoveredEndpoint) -> Self {
        Self {
            warm_at: now + endpoint.warmup_left,
            endpoint: Arc::new(endpoint),
            started: Vec::new(),
            reported: None,
            answers: 0.0,
            failures: 0.0,
            outcomes_at: now,
            failures_in_row: 0,
            ejections: 0,
            ejected_until: None,
            probed_at: None,
            epoch: now,
            pace: DecayedMean::new(PACE_HALF_LIFE_S),
            replaced: false,
        }
    }

    /// Takes in a change that discovery tells of. A new incarnation starts with no history.
    pub(super) fn update(&mut self, now: Instant, endpoint: &DiscoveredEndpoint) {
        let same = self.endpoint.started_at_ms == endpoint.started_at_ms
            && self.endpoint.address == endpoint.address;
        if !same {
            let started = std::mem::take(&mut self.started);
            *self = Self::new(now, endpoint.clone());
            self.started = started;
            return;
        }
        self.warm_at = now + endpoint.warmup_left;
        self.endpoint = Arc::new(endpoint.clone());
    }

    /// Whether it may get new requests.
    pub(super) fn accepts_requests(&self) -> bool {
        self.endpoint.state == EndpointState::Ready && !self.replaced
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.started.len() as u32
    }

    pub(super) fn record_attempt_start(&mut self, now: Instant) {
        self.started.push(now);
    }

    /// Takes in the end of an own attempt that began at `started`.
    pub(super) fn record_attempt_end(
        &mut self,
        now: Instant,
        started: Instant,
        outcome: AttemptOutcome,
    ) {
        if let Some(i) = self.started.iter().position(|at| *at == started) {
            self.started.swap_remove(i);
        }
        self.age_outcomes(now);
        match outcome {
            AttemptOutcome::Answered => {
                self.answers += 1.0;
                self.failures_in_row = 0;
                self.ejections = 0;
            }
            AttemptOutcome::Failed | AttemptOutcome::Broken => {
                self.failures += 1.0;
                self.failures_in_row += 1;
                if self.failures_in_row >= FAILURES_TO_EJECT {
                    self.eject(now);
                }
            }
            AttemptOutcome::Unreachable | AttemptOutcome::TimedOut => {
                self.failures += 1.0;
                self.failures_in_row += 1;
                self.eject(now);
            }
            AttemptOutcome::OtherInstance => self.replaced = true,
            AttemptOutcome::Shed | AttemptOutcome::Abandoned => {}
        }
    }

    /// Takes in a load report.
    pub(super) fn record_report(&mut self, at: Instant, load: LoadReport) {
        let newer = self.reported.is_none_or(|r| r.at <= at);
        if newer {
            self.reported = Some(Reported {
                at,
                load,
                own: self.in_flight(),
            });
        }
    }

    /// A full endpoint that did not tell its load.
    pub(super) fn record_full(&mut self, now: Instant) {
        let slots = self.endpoint.slots;
        let load = LoadReport {
            running: slots,
            waiting: slots * 2,
            slots,
            slowdown: None,
        };
        self.record_report(now, load);
    }

    /// Requests that are taken to be at the endpoint now.
    pub(super) fn expected_requests(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let other_requests = match &self.reported {
            Some(r) => {
                let seen = f64::from(r.load.running + r.load.waiting) - f64::from(r.own);
                let k = freshness(now, r.at);
                k * seen.max(0.0) + (1.0 - k) * baseline.other_requests
            }
            None => baseline.other_requests,
        };
        other_requests + f64::from(self.in_flight())
    }

    /// Time in seconds that a request sent now is expected to take.
    pub(super) fn expected_latency_s(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let work = self.work_seconds(now, baseline);
        self.requests_ahead(now, baseline) * work + work
    }

    /// Time in seconds that a request sent now takes at least, if nothing but the queue delays it.
    pub(super) fn min_latency_s(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        self.requests_ahead(now, baseline) * baseline.service_time_s + baseline.service_time_s
    }

    /// What speaks against an endpoint beside its load, in seconds.
    pub(super) fn penalty_s(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let overdue = |at: Instant| now.saturating_duration_since(at) > PROBE_OVERDUE;
        let silent = f64::from(u8::from(self.probed_at.is_some_and(overdue)));
        (self.failure_share(now) * FAILURE_COST + silent * PROBE_OVERDUE_COST)
            * baseline.service_time_s
    }

    /// Age of the last report.
    pub(super) fn report_age(&self, now: Instant) -> Option<Duration> {
        let reported = self.reported.as_ref()?;
        Some(now.saturating_duration_since(reported.at))
    }

    /// Slowdown that a report younger than `age` told.
    pub(super) fn recent_slowdown(&self, now: Instant, age: Duration) -> Option<f64> {
        let reported = self.reported.as_ref()?;
        let is_fresh = now.saturating_duration_since(reported.at) < age;
        reported.load.slowdown.filter(|_| is_fresh)
    }

    /// Whether the last report is younger than `age` and tells of room and usual speed.
    pub(super) fn is_known_available(&self, now: Instant, age: Duration) -> bool {
        let fresh = |r: &&Reported| now.saturating_duration_since(r.at) < age;
        let Some(r) = self.reported.as_ref().filter(fresh) else {
            return false;
        };
        let since = self.in_flight().saturating_sub(r.own);
        let usual_speed = r.load.slowdown.is_none_or(|s| s < IDLE_SLOWDOWN);
        usual_speed && r.load.running + r.load.waiting + since < r.load.slots
    }

    /// Whether one more request would leave less room than endpoints need for their usual speed.
    pub(super) fn is_congested(&self, now: Instant, baseline: &ServiceBaseline) -> bool {
        let slots = f64::from(self.endpoint.slots.max(1));
        self.expected_requests(now, baseline) + 1.0 > slots * CONGESTED_SHARE
    }

    /// Whether the last report is younger than `age`.
    pub(super) fn has_recent_report(&self, now: Instant, age: Duration) -> bool {
        self.reported
            .is_some_and(|r| now.saturating_duration_since(r.at) < age)
    }

    pub(super) fn has_pending_probe(&self) -> bool {
        self.probed_at.is_some()
    }

    pub(super) fn record_probe_start(&mut self, now: Instant) {
        self.probed_at.get_or_insert(now);
    }

    /// Takes in the end of a probe.
    pub(super) fn record_probe_end(&mut self, now: Instant, answered: bool) {
        self.probed_at = None;
        if !answered {
            self.age_outcomes(now);
            self.failures += 1.0;
            self.eject(now);
        }
    }

    /// Takes in how long an answer took against what its report lets expect.
    pub(super) fn record_latency_ratio(&mut self, now: Instant, ratio: f64) {
        let s = now.saturating_duration_since(self.epoch).as_secs_f64();
        self.pace.add(s, ratio.clamp(PACE_RANGE.0, PACE_RANGE.1));
    }

    fn pace(&self, now: Instant) -> f64 {
        let s = now.saturating_duration_since(self.epoch).as_secs_f64();
        let (weight, sum) = self.pace.weight_and_sum_at(s);
        (sum + PRIOR_PACE) / (weight + PRIOR_PACE)
    }

    /// Rounds of work that come before a request sent now.
    fn requests_ahead(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let slots = f64::from(self.endpoint.slots.max(1));
        (self.expected_requests(now, baseline) + 1.0 - slots).max(0.0) / slots
    }

    fn work_seconds(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let mut work = baseline.service_time_s * self.pace(now).max(1.0);
        if now < self.warm_at {
            work *= WARMUP_SLOWDOWN;
        }
        if self.is_congested(now, baseline) {
            work *= baseline.congestion_slowdown;
        }
        work * self.slowdown(now, baseline)
    }

    fn slowdown(&self, now: Instant, baseline: &ServiceBaseline) -> f64 {
        let told = self.reported.and_then(|r| Some((r.at, r.load.slowdown?)));
        let mut slowdown = match told {
            Some((at, told)) => {
                let k = freshness(now, at);
                k * told + (1.0 - k) * baseline.slowdown
            }
            None => baseline.slowdown,
        };
        let told_lately = told.is_some_and(|(at, _)| freshness(now, at) > 0.8);
        if let Some(oldest) = self.started.iter().min().filter(|_| !told_lately) {
            let waited = now.saturating_duration_since(*oldest).as_secs_f64();
            let lower_bound = waited / baseline.service_time_s;
            if lower_bound > OVERDUE * baseline.slowdown {
                slowdown = slowdown.max(lower_bound);
            }
        }
        slowdown
    }

    fn failure_share(&self, now: Instant) -> f64 {
        let kept = kept_weight(now, self.outcomes_at);
        let (failures, answers) = (self.failures * kept, self.answers * kept);
        failures / (failures + answers + PRIOR_ANSWERS)
    }

    fn age_outcomes(&mut self, now: Instant) {
        let kept = kept_weight(now, self.outcomes_at);
        self.failures *= kept;
        self.answers *= kept;
        self.outcomes_at = now;
    }

    fn eject(&mut self, now: Instant) {
        let length = FIRST_EJECTION * 2_u32.pow(self.ejections.min(8));
        self.ejected_until = Some(now + length.min(MAX_EJECTION));
        self.ejections += 1;
    }
}

fn freshness(now: Instant, at: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    (-age.as_secs_f64() / REPORT_LIFE.as_secs_f64()).exp()
}

fn kept_weight(now: Instant, at: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    (-age.as_secs_f64() / FAILURE_HALF_LIFE_S).exp2()
}
