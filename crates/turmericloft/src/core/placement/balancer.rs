//! The choice of an endpoint.
//!
//! Load pattern: endpoints have few slots and turn several times slower for parts of a second,
//! independently; a gateway sees each of them seldom. Expected latency joins the last report, which
//! fades within that time into what is usual in the service, with own requests in flight, which
//! are known at any moment. Requests that no endpoint can serve in time are turned away at once.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{
    AttemptOutcome, DiscoveredEndpoint, InstanceId, LoadSample, RetryBudget,
    endpoint_view::EndpointView,
    service_view::{ServiceView, Usual},
};

/// Work times that a request to another availability zone counts for, as its bytes are dear.
const OTHER_ZONE_COST: f64 = 0.15;
/// Spread of the random part of each estimate, in work times: gateways that know the same must
/// not all choose the same endpoint.
const JITTER: f64 = 0.2;
/// Requests at one endpoint for each of its slots, beyond which it is full.
const MAX_LOAD_PER_SLOT: f64 = 2.5;
/// Shortest time to come back after a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time to come back when a service has no endpoint.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);

/// A request that looks for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Endpoints that it was sent to before.
    pub tried: &'a [InstanceId],
    /// Time within which an answer is worth most.
    pub target: Duration,
    /// Time left for the answer.
    pub left: Duration,
}

/// The endpoint that a request is sent to.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: Arc<DiscoveredEndpoint>,
    /// Time that the answer is expected to take.
    pub expected: Duration,
    /// Usual time of an answer in the service.
    pub usual: Duration,
    /// Begin of the attempt; names it when it ends.
    pub started: Instant,
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unplaced {
    /// The service has no endpoint that takes requests.
    NoEndpoint {
        /// When one may be there.
        retry_after: Duration,
    },
    /// All endpoints are full, or too slow for the time left.
    Full {
        /// When room is likely.
        retry_after: Duration,
    },
}

/// Beliefs of one gateway about all endpoints.
#[derive(Debug)]
pub struct Balancer {
    zone: Arc<str>,
    budget: RetryBudget,
    services: HashMap<Arc<str>, ServiceView>,
    rng: Pcg64Mcg,
}

impl Balancer {
    /// A balancer of a gateway in `zone` that knows no endpoint. `budget` is each service's.
    pub fn new(zone: Arc<str>, budget: RetryBudget, rng: Pcg64Mcg) -> Self {
        Self {
            zone,
            budget,
            services: HashMap::new(),
            rng,
        }
    }

    /// Takes in all endpoints there are. Knowledge of those that stay is kept.
    pub fn set_endpoints(&mut self, now: Instant, endpoints: &[DiscoveredEndpoint]) {
        for service in self.services.values_mut() {
            let names = |id: &InstanceId| endpoints.iter().any(|e| e.id == *id);
            service.endpoints.retain(|id, _| names(id));
        }
        for endpoint in endpoints {
            let budget = &self.budget;
            let service = self
                .services
                .entry(Arc::clone(&endpoint.service))
                .or_insert_with(|| ServiceView::new(now, budget.clone()));
            match service.endpoints.get_mut(&endpoint.id) {
                Some(view) => view.update(now, endpoint),
                None => {
                    let view = EndpointView::new(now, endpoint.clone());
                    service.endpoints.insert(endpoint.id.clone(), view);
                }
            }
        }
    }

    /// Counts a request of a client to a service.
    pub fn add_request(&mut self, now: Instant, service: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.budget.add_request(now);
        }
    }

    /// Takes the right to send a request of a service once more.
    pub fn take_repeat(&mut self, now: Instant, service: &str) -> bool {
        let service = self.services.get_mut(service);
        service.is_some_and(|s| s.budget.take(now))
    }

    /// Chooses an endpoint and counts the request as in flight there.
    pub fn place(&mut self, now: Instant, req: &PlacementRequest<'_>) -> Result<Placement, Unplaced> {
        let no_endpoint = Unplaced::NoEndpoint {
            retry_after: NO_ENDPOINT_RETRY,
        };
        let service = self.services.get_mut(req.service).ok_or(no_endpoint)?;
        let usual = service.usual(req.target);
        let live = |v: &&EndpointView| v.takes_requests() && !req.tried.contains(&v.endpoint.id);
        let views = || service.endpoints.values().filter(live);
        if views().next().is_none() {
            return Err(no_endpoint);
        }
        let zone = &self.zone;
        let rng = &mut self.rng;
        let mut best: Option<(&EndpointView, f64, f64)> = None;
        let healthy = views().any(|v| !v.is_ejected(now));
        for view in views().filter(|v| !healthy || !v.is_ejected(now)) {
            let seconds = view.expected_seconds(now, &usual);
            let cost = seconds + usual.work_s * extra_cost(view, zone, rng.random::<f64>());
            let full = is_full(view, now, &usual);
            if !full && best.is_none_or(|(_, least, _)| cost < least) {
                best = Some((view, cost, seconds));
            }
        }
        let fits = best.filter(|(_, _, seconds)| *seconds < req.left.as_secs_f64());
        let Some((view, _, seconds)) = fits else {
            return Err(Unplaced::Full {
                retry_after: retry_after(&usual),
            });
        };
        let endpoint = Arc::clone(&view.endpoint);
        if let Some(view) = service.endpoints.get_mut(&endpoint.id) {
            view.start(now);
        }
        Ok(Placement {
            endpoint,
            expected: Duration::from_secs_f64(seconds),
            usual: Duration::from_secs_f64(usual.work_s * usual.slowdown),
            started: now,
        })
    }

    /// Takes in the end of an attempt.
    pub fn end(
        &mut self,
        now: Instant,
        placement: &Placement,
        outcome: AttemptOutcome,
        load: Option<LoadSample>,
    ) {
        let endpoint = &placement.endpoint;
        let Some(service) = self.services.get_mut(&endpoint.service) else {
            return;
        };
        if outcome == AttemptOutcome::Answered {
            let latency = now.saturating_duration_since(placement.started);
            service.answered(now, latency, load.as_ref());
        }
        let own = service.view(&endpoint.id).map_or(0, EndpointView::in_flight);
        if let Some(load) = &load {
            service.report(now, own, load);
        }
        let Some(view) = service.endpoints.get_mut(&endpoint.id) else {
            return;
        };
        view.end(now, placement.started, outcome);
        match load {
            Some(load) => view.report(now, load),
            None if outcome == AttemptOutcome::Shed => view.report_full(now),
            None => {}
        }
    }

    /// Whether any service has an endpoint that takes requests.
    pub fn has_endpoints(&self) -> bool {
        let mut views = self.services.values().flat_map(|s| s.endpoints.values());
        views.any(EndpointView::takes_requests)
    }
}

fn extra_cost(view: &EndpointView, zone: &Arc<str>, random: f64) -> f64 {
    let distance = if view.endpoint.zone == *zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    distance + random * JITTER
}

fn is_full(view: &EndpointView, now: Instant, usual: &Usual) -> bool {
    let slots = f64::from(view.endpoint.slots.max(1));
    view.load(now, usual) >= slots * MAX_LOAD_PER_SLOT
}

/// Room is likely after about one work time.
fn retry_after(usual: &Usual) -> Duration {
    Duration::from_secs_f64(usual.work_s).max(MIN_RETRY_AFTER)
}
