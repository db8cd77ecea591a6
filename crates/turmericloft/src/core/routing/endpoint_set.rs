//! The endpoints of one service and the choice among them.
//!
//! A request goes to the endpoint with the lowest expected latency among a bounded number of
//! candidates.

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

/// Maximum number of endpoints compared for one decision.
const MAX_CANDIDATES: usize = 32;
/// Maximum share of the endpoints that may be ejected at the same time.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Mean number of decisions between two that prefer an idle cold endpoint. Without them a cold
/// endpoint would never warm up next to idle warm ones.
const COLD_PROBE_INTERVAL: u32 = 16;
/// Half-life of the samples in the service's means, in seconds.
const MEANS_HALF_LIFE_S: f64 = 1.0;
/// Mean latency assumed before the first response, in seconds.
const INITIAL_LATENCY_S: f64 = 0.01;
/// Time constant of the decay of a load report's weight, in multiples of the mean latency.
const REPORT_LIFETIME_LATENCIES: f64 = 2.0;

/// Index of an endpoint in its [`EndpointSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// Settings of an endpoint that matter for routing; the document specifies them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Maximum number of requests that this gateway may have in flight at the endpoint: its share
    /// of the endpoint's connections.
    pub max_in_flight: u32,
    /// Whether the endpoint is in the gateway's availability zone.
    pub same_zone: bool,
}

/// The endpoints of one service with their state as observed by one gateway.
#[derive(Clone, Debug)]
pub struct EndpointSet {
    epoch: Instant,
    endpoints: Vec<EndpointState>,
    latency: DecayedMean,
    load: DecayedMean,
    trust: ReportTrust,
    rng: Pcg64Mcg,
}

impl EndpointSet {
    /// Creates a set without observations. `rng` selects the candidates of each decision.
    pub fn new(now: Instant, settings: &[EndpointSettings], rng: Pcg64Mcg) -> Self {
        let endpoints = settings.iter().map(EndpointState::new).collect();
        Self {
            epoch: now,
            endpoints,
            latency: DecayedMean::new(MEANS_HALF_LIFE_S),
            load: DecayedMean::new(MEANS_HALF_LIFE_S),
            trust: ReportTrust::new(),
            rng,
        }
    }

    /// Creates a set with changed settings that keeps the observations of `self`. `endpoints` gives
    /// the settings of each endpoint and its id in `self`, `None` for a new endpoint. Requests in
    /// flight are not carried over.
    pub fn reconfigured(&self, endpoints: &[(EndpointSettings, Option<EndpointId>)]) -> Self {
        let endpoints = endpoints
            .iter()
            .map(|(s, previous)| {
                let previous = previous.and_then(|id| self.endpoints.get(id.0 as usize));
                match previous {
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

    /// Number of endpoints, including ejected and draining ones.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether the set has no endpoints, draining ones included.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Total slots of the endpoints that are not draining.
    pub fn slots(&self, now: Instant) -> u32 {
        let now = self.seconds(now);
        let available = self.endpoints.iter().filter(|e| !e.is_draining(now));
        available.map(|e| e.slots).sum()
    }

    /// Requests of this gateway that are in flight at an endpoint.
    pub fn in_flight(&self, endpoint: EndpointId) -> u32 {
        self.endpoints[endpoint.0 as usize].in_flight
    }

    /// Whether an endpoint is ejected because of failures or timeouts; it is then used only if no
    /// other endpoint is available.
    pub fn is_ejected(&self, now: Instant, endpoint: EndpointId) -> bool {
        self.endpoints[endpoint.0 as usize].is_ejected(self.seconds(now))
    }

    /// Whether an endpoint is draining, according to the host list or its own drain signal.
    pub fn is_draining(&self, now: Instant, endpoint: EndpointId) -> bool {
        self.endpoints[endpoint.0 as usize].is_draining(self.seconds(now))
    }

    /// Whether at least one endpoint is not draining.
    pub fn has_available(&self, now: Instant) -> bool {
        let now = self.seconds(now);
        self.endpoints.iter().any(|e| !e.is_draining(now))
    }

    /// Records whether the host list marks an endpoint as leaving. An endpoint that stops draining
    /// is treated as a new server, without earlier observations.
    pub fn set_draining(&mut self, endpoint: EndpointId, draining: bool) {
        let state = &mut self.endpoints[endpoint.0 as usize];
        if state.is_listed_draining && !draining {
            state.reset();
        }
        state.is_listed_draining = draining;
    }

    /// Mean latency of recent successful calls, in seconds; a default before the first one.
    pub fn mean_latency(&self) -> f64 {
        self.latency.mean_or(INITIAL_LATENCY_S)
    }

    /// Chooses the available endpoint with the lowest expected latency; `None` if none has
    /// capacity.
    ///
    /// Cold endpoints exceed their warm-up limit only if no other endpoint has capacity, and
    /// ejected ones are used only if no other endpoint is left. The endpoints in `excluded` are
    /// never chosen.
    pub fn choose(&mut self, now: Instant, excluded: &[EndpointId]) -> Option<EndpointId> {
        if self.endpoints.is_empty() {
            return None;
        }
        let now = self.seconds(now);
        let first = self.rng.random_range(0..self.endpoints.len());
        if self.rng.random_ratio(1, COLD_PROBE_INTERVAL)
            && let Some(cold) = self.idle_cold(now, first, excluded)
        {
            return Some(cold);
        }
        self.best(now, first, excluded, |e| !e.is_ejected(now) && e.can_send())
            .or_else(|| self.best(now, first, excluded, |e| !e.is_ejected(now)))
            .or_else(|| self.best(now, first, excluded, |_| true))
    }

    /// Records that a call was sent to an endpoint.
    pub fn record_sent(&mut self, now: Instant, endpoint: EndpointId) {
        let now = self.seconds(now);
        self.endpoints[endpoint.0 as usize].record_sent(now);
    }

    /// Records a finished call: its outcome, its latency and the endpoint's load report.
    pub fn record_finished(&mut self, now: Instant, call: &FinishedCall) {
        let seconds = self.seconds(now);
        let started = self.seconds(call.started);
        let can_eject = self.can_eject_another(seconds);
        let mean_latency = self.mean_latency();
        let state = &mut self.endpoints[call.endpoint.0 as usize];
        if state.record_finished(seconds, started, mean_latency, call) && can_eject {
            state.eject(seconds);
        }
        if call.outcome == CallOutcome::Succeeded {
            self.latency.add(seconds, seconds - started);
        }
        if let Some(load) = call.load {
            let share = f64::from(load.in_flight) / f64::from(load.slots.max(1));
            self.load.add(seconds, share);
            if call.outcome == CallOutcome::Succeeded {
                self.trust.record(share, seconds - started);
            }
        }
    }

    /// A cold endpoint without requests of this gateway in flight.
    fn idle_cold(&self, now: f64, first: usize, excluded: &[EndpointId]) -> Option<EndpointId> {
        let n = self.endpoints.len();
        let candidates = (first..first + n.min(MAX_CANDIDATES)).map(|i| i % n);
        let idle_and_cold = |&i: &usize| {
            let e = &self.endpoints[i];
            e.is_cold() && e.in_flight == 0 && !e.is_draining(now) && !e.is_ejected(now)
        };
        let ids = candidates
            .filter(idle_and_cold)
            .map(|i| EndpointId(i as u32));
        ids.into_iter().find(|id| !excluded.contains(id))
    }

    /// The candidate with the lowest expected latency among those that `preferred` accepts.
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
        for i in 0..n.min(MAX_CANDIDATES) {
            let i = (first + i) % n;
            let e = &self.endpoints[i];
            let id = EndpointId(i as u32);
            let is_usable = !e.is_draining(now) && e.is_below_max_in_flight() && preferred(e);
            if !is_usable || excluded.contains(&id) {
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
            load: self.load.mean_or(0.0),
            report_trust: self.trust.get(),
            report_lifetime: REPORT_LIFETIME_LATENCIES * latency,
        }
    }

    fn can_eject_another(&self, now: f64) -> bool {
        let ejected = self.endpoints.iter().filter(|e| e.is_ejected(now)).count();
        (ejected + 1) as f64 <= self.endpoints.len() as f64 * MAX_EJECTED_SHARE
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64()
    }
}
