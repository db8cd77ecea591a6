//! What a gateway knows about one endpoint.

use super::{CallEnd, EndedCall, EndpointSettings};
use crate::core::decayed_mean::DecayedMean;

/// Round trip to another availability zone beyond that within one, in seconds.
const ZONE_DISTANCE_S: f64 = 0.000_8;
/// Half-life of latency samples, in seconds.
const LATENCY_HALF_LIFE_S: f64 = 1.0;
/// Weight of the service's mean latency against an endpoint's own samples, in samples.
const LATENCY_PRIOR_SAMPLES: f64 = 10.0;
/// Half-life of the load that an error counts for, in seconds.
const ERROR_HALF_LIFE_S: f64 = 1.0;
/// Load that one error counts for, in requests.
const ERROR_LOAD: f64 = 2.0;
/// Failures in a row after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// Unanswered calls in a row, with no answer to any call meanwhile, after which an endpoint is
/// ejected.
const SILENCES_TO_EJECT: u32 = 3;
/// Mean latencies after which a call that was given up on counts as unanswered.
const SILENT_LATENCIES: f64 = 3.0;
/// Time of the first ejection, in seconds; each further one doubles it.
const FIRST_EJECTION_S: f64 = 0.5;
/// Longest ejection, in seconds.
const MAX_EJECTION_S: f64 = 16.0;
/// Time for which an endpoint's own drain signal holds, in seconds.
const DRAIN_HOLD_S: f64 = 300.0;
/// Answers after which an endpoint is no longer cold.
const WARM_ANSWERS: u32 = 32;
/// Answers that let a cold endpoint have one more request in flight.
const ANSWERS_PER_COLD_SLOT: u32 = 4;
/// Extra load that a wholly cold endpoint counts for, in requests.
const COLD_LOAD: f64 = 1.0;

/// What the whole service looks like, against which one endpoint is judged.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceMeans {
    /// Mean latency, in seconds.
    pub(super) latency: f64,
    /// Mean load of other gateways, as a share of an endpoint's slots.
    pub(super) others: f64,
    /// How far reports can be trusted, from 0 to 1.
    pub(super) trust: f64,
    /// Time in which a report loses most of its worth, in seconds.
    pub(super) report_life: f64,
}

/// One endpoint as seen by one gateway. Times are seconds of the set's epoch.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) slots: u32,
    /// Own requests that may be in flight.
    limit: u32,
    /// Round trip beyond that of the nearest endpoints, in seconds.
    distance: f64,
    pub(super) in_flight: u32,
    pub(super) leaving: bool,
    starts: f64,
    latency: DecayedMean,
    errors: DecayedMean,
    others: f64,
    reported: f64,
    failures: u32,
    silences: u32,
    answered: f64,
    ejections: u32,
    ejected_until: f64,
    drained_until: f64,
    answers: u32,
}

impl EndpointState {
    pub(super) fn new(settings: &EndpointSettings) -> Self {
        Self {
            slots: settings.slots.max(1),
            limit: settings.in_flight.min(settings.slots).max(1),
            distance: distance(settings),
            in_flight: 0,
            leaving: false,
            starts: 0.0,
            latency: DecayedMean::new(LATENCY_HALF_LIFE_S),
            errors: DecayedMean::new(ERROR_HALF_LIFE_S),
            others: 0.0,
            reported: f64::NEG_INFINITY,
            failures: 0,
            silences: 0,
            answered: 0.0,
            ejections: 0,
            ejected_until: 0.0,
            drained_until: 0.0,
            answers: 0,
        }
    }

    /// The same knowledge for a new table, without the requests in flight of the old one.
    pub(super) fn carried_over(&self, settings: &EndpointSettings) -> Self {
        let new = Self::new(settings);
        Self {
            slots: new.slots,
            limit: new.limit,
            distance: new.distance,
            in_flight: 0,
            starts: 0.0,
            ..self.clone()
        }
    }

    /// Forgets all but the requests in flight.
    pub(super) fn forget(&mut self) {
        let new = Self::new(&EndpointSettings {
            slots: self.slots,
            in_flight: self.limit,
            same_zone: self.distance == 0.0,
        });
        *self = Self {
            in_flight: self.in_flight,
            starts: self.starts,
            ..new
        };
    }

    pub(super) fn is_draining(&self, now: f64) -> bool {
        self.leaving || now < self.drained_until
    }

    /// Whether few answers of it were seen.
    pub(super) fn is_cold(&self) -> bool {
        self.answers < WARM_ANSWERS
    }

    pub(super) fn is_ejected(&self, now: f64) -> bool {
        now < self.ejected_until
    }

    /// Whether own requests leave room for one more.
    pub(super) fn has_room(&self) -> bool {
        let on_trial = self.ejections > 0;
        let limit = if on_trial {
            1
        } else if self.is_cold() {
            self.limit.min(1 + self.answers / ANSWERS_PER_COLD_SLOT)
        } else {
            self.limit
        };
        self.in_flight < limit
    }

    /// Whether own requests leave room for one more, however cold it is.
    pub(super) fn has_any_room(&self) -> bool {
        self.in_flight < self.limit
    }

    /// Estimated time until an answer to a request sent now, in seconds.
    pub(super) fn expected_latency(&self, now: f64, means: &ServiceMeans) -> f64 {
        let slots = f64::from(self.slots);
        let age = (now - self.reported).max(0.0);
        let known = means.trust * (-age / means.report_life).exp();
        let prior = means.others * slots;
        let others = prior + (self.others - prior) * known;
        let (errors, _) = self.errors.weight_and_sum_at(now);
        let cold =
            COLD_LOAD * (1.0 - f64::from(self.answers.min(WARM_ANSWERS)) / f64::from(WARM_ANSWERS));
        let load = others + f64::from(self.in_flight) + ERROR_LOAD * errors + cold;
        let over = load + 1.0 - slots;
        let spread = 0.25 + (1.0 - known) * slots * 0.5;
        let waiting = 0.5 * (over + (over * over + spread).sqrt());
        let service = self.latency_estimate(now, means);
        self.distance + service * (1.0 + waiting / slots)
    }

    /// Mean latency if latencies were exponential: time spent by answered and open calls, over
    /// the answered calls, drawn to the mean of the service.
    fn latency_estimate(&self, now: f64, means: &ServiceMeans) -> f64 {
        let (samples, seconds) = self.latency.weight_and_sum_at(now);
        let open = (f64::from(self.in_flight) * now - self.starts).max(0.0);
        let prior = LATENCY_PRIOR_SAMPLES * means.latency;
        (prior + seconds + open) / (LATENCY_PRIOR_SAMPLES + samples)
    }

    pub(super) fn start(&mut self, now: f64) {
        self.in_flight += 1;
        self.starts += now;
    }

    /// Takes in an ended call that started at `started`, with the usual latency of the service.
    /// Gives whether the endpoint should be ejected.
    pub(super) fn end(&mut self, now: f64, started: f64, usual: f64, call: &EndedCall) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.starts = if self.in_flight == 0 {
            0.0
        } else {
            self.starts - started
        };
        if let Some(load) = call.load {
            let own = f64::from(self.in_flight) + 1.0;
            self.others = (f64::from(load.in_flight) - own).max(0.0);
            self.reported = now;
        }
        if call.drain {
            self.drained_until = now + DRAIN_HOLD_S;
        }
        match call.end {
            CallEnd::Answered => {
                self.latency.add(now, now - started);
                self.answers = self.answers.saturating_add(1);
                self.failures = 0;
                self.silences = 0;
                self.answered = now;
                self.ejections = 0;
                false
            }
            CallEnd::Abandoned => {
                // The call would have taken at least this long.
                self.latency.add_weighted(now, 0.0, now - started);
                let long = now - started >= SILENT_LATENCIES * usual;
                self.silences += u32::from(long && self.answered < started);
                self.silences >= SILENCES_TO_EJECT && !self.is_ejected(now)
            }
            CallEnd::Shed => {
                self.others = self.others.max(f64::from(self.slots));
                self.reported = now;
                false
            }
            CallEnd::Failed | CallEnd::Unreachable => {
                self.errors.add(now, 1.0);
                self.failures = self.failures.saturating_add(1);
                self.failures >= FAILURES_TO_EJECT && !self.is_ejected(now)
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

fn distance(settings: &EndpointSettings) -> f64 {
    if settings.same_zone {
        0.0
    } else {
        ZONE_DISTANCE_S
    }
}
