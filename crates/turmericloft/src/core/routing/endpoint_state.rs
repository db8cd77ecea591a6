//! State of one endpoint as observed by one gateway: load, latency, ejection and draining.

use super::{CallOutcome, EndpointSettings, FinishedCall};
use crate::core::decayed_mean::DecayedMean;

/// Additional round-trip time to another availability zone, in seconds.
const CROSS_ZONE_RTT_S: f64 = 0.000_8;
/// Half-life of latency samples, in seconds.
const LATENCY_HALF_LIFE_S: f64 = 1.0;
/// Weight of the service's mean latency against an endpoint's own samples, in samples.
const LATENCY_PRIOR_SAMPLES: f64 = 10.0;
/// Half-life of the load penalty for an error, in seconds.
const ERROR_PENALTY_HALF_LIFE_S: f64 = 1.0;
/// Load penalty for one error, in requests.
const ERROR_PENALTY_REQUESTS: f64 = 2.0;
/// Consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// Consecutive timed-out calls, without a success in between, after which an endpoint is ejected.
const TIMEOUTS_TO_EJECT: u32 = 3;
/// Age from which a cancelled call counts as timed out, in multiples of the mean latency.
const TIMEOUT_LATENCIES: f64 = 3.0;
/// Duration of the first ejection, in seconds; each further one without a success doubles it.
const FIRST_EJECTION_S: f64 = 0.5;
/// Maximum duration of an ejection, in seconds.
const MAX_EJECTION_S: f64 = 16.0;
/// Time for which an endpoint's own drain signal remains valid, in seconds.
const DRAIN_SIGNAL_TTL_S: f64 = 300.0;
/// Successes after which an endpoint is no longer cold.
const WARM_UP_SUCCESSES: u32 = 32;
/// Successes for each additional request that a cold endpoint may have in flight.
const SUCCESSES_PER_WARM_UP_SLOT: u32 = 4;
/// Load penalty for an endpoint without successes, in requests; it falls linearly to 0 during the
/// warm-up.
const COLD_PENALTY_REQUESTS: f64 = 1.0;

/// Means over all endpoints of a service, used as priors for a single endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceMeans {
    /// Mean latency, in seconds.
    pub(super) latency: f64,
    /// Mean reported load, as a share of an endpoint's slots.
    pub(super) load: f64,
    /// Weight of a fresh load report, from 0 to 1.
    pub(super) report_trust: f64,
    /// Time constant of the decay of a load report's weight, in seconds.
    pub(super) report_lifetime: f64,
}

/// State of one endpoint as observed by one gateway. Times are in seconds since the epoch of the
/// endpoint set.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) slots: u32,
    /// Maximum number of this gateway's requests in flight.
    max_in_flight: u32,
    /// Round-trip time in addition to that within the gateway's zone, in seconds.
    extra_rtt: f64,
    pub(super) in_flight: u32,
    /// Whether the host list marks the endpoint as leaving.
    pub(super) is_listed_draining: bool,
    /// Sum of the send times of the requests in flight.
    sent_at_sum: f64,
    latency: DecayedMean,
    errors: DecayedMean,
    /// Requests of other gateways at the endpoint, as of the last load report.
    other_requests: f64,
    reported_at: f64,
    consecutive_failures: u32,
    consecutive_timeouts: u32,
    last_success: f64,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: f64,
    drained_until: f64,
    successes: u32,
}

impl EndpointState {
    pub(super) fn new(settings: &EndpointSettings) -> Self {
        Self {
            slots: settings.slots.max(1),
            max_in_flight: settings.max_in_flight.min(settings.slots).max(1),
            extra_rtt: extra_rtt(settings),
            in_flight: 0,
            is_listed_draining: false,
            sent_at_sum: 0.0,
            latency: DecayedMean::new(LATENCY_HALF_LIFE_S),
            errors: DecayedMean::new(ERROR_PENALTY_HALF_LIFE_S),
            other_requests: 0.0,
            reported_at: f64::NEG_INFINITY,
            consecutive_failures: 0,
            consecutive_timeouts: 0,
            last_success: 0.0,
            ejections: 0,
            ejected_until: 0.0,
            drained_until: 0.0,
            successes: 0,
        }
    }

    /// Copies the state for changed settings. Requests in flight are not carried over: the previous
    /// set keeps counting them.
    pub(super) fn reconfigured(&self, settings: &EndpointSettings) -> Self {
        let new = Self::new(settings);
        Self {
            slots: new.slots,
            max_in_flight: new.max_in_flight,
            extra_rtt: new.extra_rtt,
            in_flight: 0,
            sent_at_sum: 0.0,
            ..self.clone()
        }
    }

    /// Resets the state, except for the requests in flight.
    pub(super) fn reset(&mut self) {
        let new = Self::new(&EndpointSettings {
            slots: self.slots,
            max_in_flight: self.max_in_flight,
            same_zone: self.extra_rtt == 0.0,
        });
        *self = Self {
            in_flight: self.in_flight,
            sent_at_sum: self.sent_at_sum,
            ..new
        };
    }

    pub(super) fn is_draining(&self, now: f64) -> bool {
        self.is_listed_draining || now < self.drained_until
    }

    /// Whether the endpoint is still warming up, judged by its successes.
    pub(super) fn is_cold(&self) -> bool {
        self.successes < WARM_UP_SUCCESSES
    }

    pub(super) fn is_ejected(&self, now: f64) -> bool {
        now < self.ejected_until
    }

    /// Whether the gateway may have one more request in flight. The limit is lower during warm-up,
    /// and 1 after an ejection until the next success.
    pub(super) fn can_send(&self) -> bool {
        let is_on_probation = self.ejections > 0;
        let limit = if is_on_probation {
            1
        } else if self.is_cold() {
            self.max_in_flight
                .min(1 + self.successes / SUCCESSES_PER_WARM_UP_SLOT)
        } else {
            self.max_in_flight
        };
        self.in_flight < limit
    }

    /// As [`Self::can_send`], but ignoring warm-up and past ejections.
    pub(super) fn is_below_max_in_flight(&self) -> bool {
        self.in_flight < self.max_in_flight
    }

    /// Expected latency of a request sent now, in seconds.
    ///
    /// The load is the requests at the endpoint, with penalties for errors and warm-up. The last
    /// load report counts less with age; the service's mean load stands in for the rest. Requests
    /// beyond the slots wait, which is approximated by a smoothed `max(0, excess)`; the smoothing
    /// is wider the less is known about the load.
    pub(super) fn expected_latency(&self, now: f64, means: &ServiceMeans) -> f64 {
        let slots = f64::from(self.slots);
        let age = (now - self.reported_at).max(0.0);
        let weight = means.report_trust * (-age / means.report_lifetime).exp();
        let prior = means.load * slots;
        let others = prior + (self.other_requests - prior) * weight;
        let (errors, _) = self.errors.weight_and_sum_at(now);
        let cold = COLD_PENALTY_REQUESTS
            * (1.0
                - f64::from(self.successes.min(WARM_UP_SUCCESSES)) / f64::from(WARM_UP_SUCCESSES));
        let load = others + f64::from(self.in_flight) + ERROR_PENALTY_REQUESTS * errors + cold;
        let excess = load + 1.0 - slots;
        let smoothing = 0.25 + (1.0 - weight) * slots * 0.5;
        let waiting = 0.5 * (excess + (excess * excess + smoothing).sqrt());
        let service = self.latency_estimate(now, means);
        self.extra_rtt + service * (1.0 + waiting / slots)
    }

    /// Estimated mean latency, in seconds.
    ///
    /// The maximum likelihood estimate for exponential latencies with censored samples: the time
    /// spent by successful, cancelled and outstanding calls, divided by the number of successful
    /// ones. The service's mean latency is the prior.
    fn latency_estimate(&self, now: f64, means: &ServiceMeans) -> f64 {
        let (samples, seconds) = self.latency.weight_and_sum_at(now);
        let outstanding = (f64::from(self.in_flight) * now - self.sent_at_sum).max(0.0);
        let prior = LATENCY_PRIOR_SAMPLES * means.latency;
        (prior + seconds + outstanding) / (LATENCY_PRIOR_SAMPLES + samples)
    }

    pub(super) fn record_sent(&mut self, now: f64) {
        self.in_flight += 1;
        self.sent_at_sum += now;
    }

    /// Records a finished call that was sent at `started`, with the service's mean latency in
    /// seconds. Returns whether the endpoint should be ejected.
    pub(super) fn record_finished(
        &mut self,
        now: f64,
        started: f64,
        mean_latency: f64,
        call: &FinishedCall,
    ) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent_at_sum = if self.in_flight == 0 {
            0.0
        } else {
            self.sent_at_sum - started
        };
        if let Some(load) = call.load {
            let own = f64::from(self.in_flight) + 1.0;
            self.other_requests = (f64::from(load.in_flight) - own).max(0.0);
            self.reported_at = now;
        }
        if call.is_draining {
            self.drained_until = now + DRAIN_SIGNAL_TTL_S;
        }
        match call.outcome {
            CallOutcome::Succeeded => {
                self.latency.add(now, now - started);
                self.successes = self.successes.saturating_add(1);
                self.consecutive_failures = 0;
                self.consecutive_timeouts = 0;
                self.last_success = now;
                self.ejections = 0;
                false
            }
            CallOutcome::Cancelled => {
                // A censored sample: the call would have taken at least this long.
                self.latency.add_weighted(now, 0.0, now - started);
                let timed_out = now - started >= TIMEOUT_LATENCIES * mean_latency;
                self.consecutive_timeouts += u32::from(timed_out && self.last_success < started);
                self.consecutive_timeouts >= TIMEOUTS_TO_EJECT && !self.is_ejected(now)
            }
            CallOutcome::Shed => {
                self.other_requests = self.other_requests.max(f64::from(self.slots));
                self.reported_at = now;
                false
            }
            CallOutcome::Failed | CallOutcome::Unreachable => {
                self.errors.add(now, 1.0);
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.consecutive_failures >= FAILURES_TO_EJECT && !self.is_ejected(now)
            }
        }
    }

    pub(super) fn eject(&mut self, now: f64) {
        let doublings = self.ejections.min(10) as i32;
        let seconds = (FIRST_EJECTION_S * f64::powi(2.0, doublings)).min(MAX_EJECTION_S);
        self.ejected_until = now + seconds;
        self.ejections += 1;
    }
}

fn extra_rtt(settings: &EndpointSettings) -> f64 {
    if settings.same_zone {
        0.0
    } else {
        CROSS_ZONE_RTT_S
    }
}
