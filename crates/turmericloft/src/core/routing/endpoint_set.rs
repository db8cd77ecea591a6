//! The endpoints of one service, and the choice among them.

use std::time::Instant;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{
    FinishedCall,
    call_outcome::CallOutcome,
    endpoint_state::{EndpointState, ServiceMeans},
    report_trust::ReportTrust,
};
use crate::core::decayed_mean::DecayedMean;

/// Endpoints looked at for one decision.
const MAX_CONSIDERED: usize = 32;
/// Largest share of the endpoints that may be ejected at once.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// One in so many decisions tries a cold endpoint, so that it warms up beside idle warm ones.
const COLD_TRIAL_INTERVAL: u32 = 16;
/// Half-life of the service's means, in seconds.
const MEANS_HALF_LIFE_S: f64 = 1.0;
/// Latency assumed before the first answer, in seconds.
const INITIAL_LATENCY_S: f64 = 0.01;
/// Mean latencies after which a report has lost most of its worth.
const REPORT_LIFE_LATENCIES: f64 = 2.0;

/// Index of an endpoint in its set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// What a document says about an endpoint that matters for choosing it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Requests it works on at the same time.
    pub slots: u32,
    /// Requests that this gateway may have in flight at it: its share of the connections.
    pub max_in_flight: u32,
    /// Whether it is in the gateway's availability zone.
    pub same_zone: bool,
}

/// The endpoints of one service as one gateway knows them.
#[derive(Clone, Debug)]
pub struct EndpointSet {
    epoch: Instant,
    endpoints: Vec<EndpointState>,
    latency: DecayedMean,
    others: DecayedMean,
    trust: ReportTrust,
    rng: Pcg64Mcg,
}

impl EndpointSet {
    /// A set in which nothing is known yet. Ties are broken by `rng`.
    pub fn new(now: Instant, settings: &[EndpointSettings], rng: Pcg64Mcg) -> Self {
        let endpoints = settings.iter().map(EndpointState::new).collect();
        Self {
            epoch: now,
            endpoints,
            latency: DecayedMean::new(MEANS_HALF_LIFE_S),
            others: DecayedMean::new(MEANS_HALF_LIFE_S),
            trust: ReportTrust::new(),
            rng,
        }
    }

    /// A set that keeps what `self` knows; `known` names each endpoint's place in `self`.
    pub fn reconfigured(&self, known: &[(EndpointSettings, Option<EndpointId>)]) -> Self {
        let endpoints = known
            .iter()
            .map(|(s, before)| {
                let before = before.and_then(|id| self.endpoints.get(id.0 as usize));
                match before {
                    Some(state) => state.reconfigured(s),
                    None => EndpointState::new(s),
                }
            })
            .collect();
        Self {
            endpoints,
            ..self.clone()
        }
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Slots of all endpoints that take new requests.
    pub fn slots(&self, now: Instant) -> u32 {
        let now = self.seconds(now);
        let live = self.endpoints.iter().filter(|e| !e.is_draining(now));
        live.map(|e| e.slots).sum()
    }

    /// Own requests in flight at an endpoint.
    pub fn in_flight(&self, endpoint: EndpointId) -> u32 {
        self.endpoints[endpoint.0 as usize].in_flight
    }

    /// Whether an endpoint is ejected.
    pub fn is_ejected(&self, now: Instant, endpoint: EndpointId) -> bool {
        self.endpoints[endpoint.0 as usize].is_ejected(self.seconds(now))
    }

    /// Whether an endpoint takes no new requests because it is leaving.
    pub fn is_draining(&self, now: Instant, endpoint: EndpointId) -> bool {
        self.endpoints[endpoint.0 as usize].is_draining(self.seconds(now))
    }

    /// Whether any endpoint takes new requests.
    pub fn has_available(&self, now: Instant) -> bool {
        let now = self.seconds(now);
        self.endpoints.iter().any(|e| !e.is_draining(now))
    }

    /// Takes in what the host list says about an endpoint. One that comes back is a new server.
    pub fn set_draining(&mut self, endpoint: EndpointId, leaving: bool) {
        let state = &mut self.endpoints[endpoint.0 as usize];
        if state.leaving && !leaving {
            state.forget();
        }
        state.leaving = leaving;
    }

    /// Mean latency of calls, in seconds.
    pub fn mean_latency(&self) -> f64 {
        self.latency.mean_or(INITIAL_LATENCY_S)
    }

    /// The endpoint with room that should answer first. Cold ones are filled beyond their limit only
    /// when no other has room, and ejected ones used only when no other is left.
    pub fn choose(&mut self, now: Instant, excluded: &[EndpointId]) -> Option<EndpointId> {
        if self.endpoints.is_empty() {
            return None;
        }
        let now = self.seconds(now);
        let first = self.rng.random_range(0..self.endpoints.len());
        if self.rng.random_ratio(1, COLD_TRIAL_INTERVAL)
            && let Some(cold) = self.cold(now, first, excluded)
        {
            return Some(cold);
        }
        self.best(now, first, excluded, |e| !e.is_ejected(now) && e.has_room())
            .or_else(|| self.best(now, first, excluded, |e| !e.is_ejected(now)))
            .or_else(|| self.best(now, first, excluded, |_| true))
    }

    /// Counts a call as sent to an endpoint.
    pub fn record_sent(&mut self, now: Instant, endpoint: EndpointId) {
        let now = self.seconds(now);
        self.endpoints[endpoint.0 as usize].record_sent(now);
    }

    /// Takes in an ended call.
    pub fn record_finished(&mut self, now: Instant, call: &FinishedCall) {
        let seconds = self.seconds(now);
        let started = self.seconds(call.started);
        let may_eject = self.may_eject_one_more(seconds);
        let usual = self.mean_latency();
        let state = &mut self.endpoints[call.endpoint.0 as usize];
        if state.record_finished(seconds, started, usual, call) && may_eject {
            state.eject(seconds);
        }
        if call.outcome == CallOutcome::Succeeded {
            self.latency.add(seconds, seconds - started);
        }
        if let Some(load) = call.load {
            let share = f64::from(load.in_flight) / f64::from(load.slots.max(1));
            self.others.add(seconds, share);
            if call.outcome == CallOutcome::Succeeded {
                self.trust.record(share, seconds - started);
            }
        }
    }

    /// An endpoint that has answered little and has no request in flight.
    fn cold(&self, now: f64, first: usize, excluded: &[EndpointId]) -> Option<EndpointId> {
        let n = self.endpoints.len();
        let candidates = (first..first + n.min(MAX_CONSIDERED)).map(|i| i % n);
        let idle_and_cold = |&i: &usize| {
            let e = &self.endpoints[i];
            e.is_cold() && e.in_flight == 0 && !e.is_draining(now) && !e.is_ejected(now)
        };
        let ids = candidates
            .filter(idle_and_cold)
            .map(|i| EndpointId(i as u32));
        ids.into_iter().find(|id| !excluded.contains(id))
    }

    fn best(
        &self,
        now: f64,
        first: usize,
        excluded: &[EndpointId],
        preferred: impl Fn(&EndpointState) -> bool,
    ) -> Option<EndpointId> {
        let means = self.means();
        let n = self.endpoints.len();
        let mut best = None;
        let mut best_latency = f64::INFINITY;
        for i in 0..n.min(MAX_CONSIDERED) {
            let i = (first + i) % n;
            let e = &self.endpoints[i];
            let id = EndpointId(i as u32);
            let usable = !e.is_draining(now) && e.has_any_room() && preferred(e);
            if !usable || excluded.contains(&id) {
                continue;
            }
            let latency = e.expected_latency(now, &means);
            if latency < best_latency {
                best_latency = latency;
                best = Some(id);
            }
        }
        best
    }

    fn means(&self) -> ServiceMeans {
        let latency = self.mean_latency();
        ServiceMeans {
            latency,
            others: self.others.mean_or(0.0),
            trust: self.trust.get(),
            report_life: REPORT_LIFE_LATENCIES * latency,
        }
    }

    fn may_eject_one_more(&self, now: f64) -> bool {
        let ejected = self.endpoints.iter().filter(|e| e.is_ejected(now)).count();
        (ejected + 1) as f64 <= self.endpoints.len() as f64 * MAX_EJECTED_SHARE
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
    }
}
