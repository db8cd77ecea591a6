//! The choice of an endpoint.
//!
//! Load pattern: endpoints have few slots and turn several times slower for parts of a second,
//! independently; a gateway sees each of them seldom. Expected latency joins the last report, which
//! fades within that time into what is usual in the service, with own requests in flight, which
//! are known at any moment. Requests that no endpoint can serve in time are turned away at once.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{
    AttemptOutcome, DiscoveredEndpoint, LoadReport, PlacementError, PlacementRequest, Probe,
    ProbeOutcome, RetryBudget,
    endpoint_view::EndpointView,
    service_view::{CONGESTED_SHARE, ServiceBaseline, ServiceView},
};

/// Work times that a request to another availability zone counts for, as its bytes are dear.
const OTHER_ZONE_COST: f64 = 0.3;
/// Work times that a wholly filled endpoint counts for beside its queue: of endpoints that seem
/// equal the emptier one has more room for what is not known.
const FILL_COST: f64 = 0.2;
/// Spread of the random part of each estimate, in work times: gateways that know the same must
/// not all choose the same endpoint.
const JITTER: f64 = 0.2;
/// Slowdown of crowded endpoints from which on they serve less than those that are not crowded.
const MAX_CROWDING: f64 = 1.2;
/// Extra share of an endpoint's slots that the most urgent requests may fill.
const URGENT_SHARE: f64 = 0.2;
/// Load estimates are means; so much of a request over the limit does not count.
const ROUNDING: f64 = 0.3;
/// Share of the fill that repeats may use while the first attempt is still under way.
const SPARE_SHARE: f64 = 0.75;
/// Age of a report up to which a request is sent without asking the endpoint again.
const KNOWN_FOR: Duration = Duration::from_millis(12);
/// Endpoints asked before a request is sent.
const PROBES: usize = 3;
/// Shortest time to come back after a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time to come back when a service has no endpoint.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);

/// The endpoint that a request is sent to.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: Arc<DiscoveredEndpoint>,
    /// Time that the answer is expected to take.
    pub expected_latency: Duration,
    /// Time of an answer at an endpoint that nothing slows.
    pub service_time: Duration,
    /// Begin of the attempt; names it when it ends.
    pub started_at: Instant,
    /// Age of the endpoint's last load report, if there was one.
    pub report_age: Option<Duration>,
    /// Slowdown that the endpoint had just told.
    slowdown: Option<f64>,
    /// Whether the endpoint was nearly full.
    crowded: bool,
}

/// Beliefs of one gateway about all endpoints.
#[derive(Debug)]
pub struct Balancer {
    zone: Arc<str>,
    budget: RetryBudget,
    /// Probes that an endpoint bears from this gateway in a second, if that is bounded.
    probe_rate: Option<f64>,
    services: HashMap<Arc<str>, ServiceView>,
    rng: Pcg64Mcg,
}

impl Balancer {
    /// A balancer of a gateway in `zone` that knows no endpoint. `budget` is each service's.
    pub fn new(zone: Arc<str>, budget: RetryBudget, rng: Pcg64Mcg) -> Self {
        Self {
            zone,
            budget,
            probe_rate: None,
            services: HashMap::new(),
            rng,
        }
    }

    /// Bounds the probes that an endpoint gets from this gateway in a second.
    pub fn set_probe_rate(&mut self, per_endpoint: f64) {
        self.probe_rate = Some(per_endpoint);
    }

    /// Takes in all endpoints there are. Knowledge of those that stay is kept.
    pub fn set_endpoints(&mut self, now: Instant, endpoints: &[DiscoveredEndpoint]) {
        let named: HashSet<_> = endpoints.iter().map(|e| &e.id).collect();
        for service in self.services.values_mut() {
            service.endpoints.retain(|id, _| named.contains(id));
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
    pub fn record_request(&mut self, now: Instant, service: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.budget.record_request(now);
            service.probe_budget.record_request();
        }
    }

    /// Takes the right to send a request of a service once more.
    pub fn try_take_retry(&mut self, now: Instant, service: &str) -> bool {
        let service = self.services.get_mut(service);
        service.is_some_and(|s| s.budget.try_take(now))
    }

    /// Endpoints to ask for their load before a request is placed; none if one with room is known,
    /// or if the service's endpoints do not tell their load.
    pub fn choose_probes(&mut self, now: Instant, req: &PlacementRequest<'_>) -> Vec<Probe> {
        let Some(service) = self.services.get_mut(req.service) else {
            return Vec::new();
        };
        let borne = self.probe_rate.map(|r| r * service.endpoints.len() as f64);
        let most = PROBES.min(service.probe_budget.available(now, borne));
        if !service.has_load_reports() || most == 0 {
            return Vec::new();
        }
        let baseline = service.baseline(req.target_latency);
        let takes = |v: &&mut EndpointView| {
            v.accepts_requests() && !v.is_ejected(now) && !req.tried.contains(&v.endpoint.id)
        };
        let zone = &self.zone;
        let rng = &mut self.rng;
        let views = service.endpoints.values_mut().filter(takes);
        let mut views: Vec<_> = views
            .map(|v| (cost(v, now, &baseline, zone, rng.random::<f64>()), v))
            .collect();
        views.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        if views
            .first()
            .is_some_and(|(_, v)| v.is_known_available(now, KNOWN_FOR))
        {
            return Vec::new();
        }
        let unknown = views.into_iter().map(|(_, v)| v);
        let unknown =
            unknown.filter(|v| !v.has_recent_report(now, KNOWN_FOR) && !v.has_pending_probe());
        let probed = unknown.take(most).map(|v| {
            v.record_probe_start(now);
            Probe {
                endpoint: Arc::clone(&v.endpoint),
            }
        });
        let probes: Vec<_> = probed.collect();
        service.probe_budget.spend(probes.len());
        probes
    }

    /// Takes in the end of a probe. Gives whether the endpoint has room at its usual speed.
    pub fn record_probe_end(&mut self, now: Instant, probe: &Probe, outcome: ProbeOutcome) -> bool {
        let endpoint = &probe.endpoint;
        let Some(service) = self.services.get_mut(&endpoint.service) else {
            return false;
        };
        let own = service
            .view(&endpoint.id)
            .map_or(0, EndpointView::in_flight);
        match &outcome {
            ProbeOutcome::Reported(load) => service.record_report(now, own, load),
            ProbeOutcome::NoReport => service.record_missing_report(),
            ProbeOutcome::NoResponse => {}
        }
        let Some(view) = service.endpoints.get_mut(&endpoint.id) else {
            return false;
        };
        view.record_probe_end(now, outcome != ProbeOutcome::NoResponse);
        if let ProbeOutcome::Reported(load) = outcome {
            view.record_report(now, load);
        }
        view.is_known_available(now, KNOWN_FOR)
    }

    /// Chooses an endpoint and counts the request as in flight there.
    pub fn place(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
    ) -> Result<Placement, PlacementError> {
        let no_endpoint = PlacementError::NoEndpoint {
            retry_after: NO_ENDPOINT_RETRY,
        };
        let service = self.services.get_mut(req.service).ok_or(no_endpoint)?;
        let baseline = service.baseline(req.target_latency);
        let live = |v: &&EndpointView| v.accepts_requests() && !req.tried.contains(&v.endpoint.id);
        let views = || service.endpoints.values().filter(live);
        if views().next().is_none() {
            return Err(no_endpoint);
        }
        let zone = &self.zone;
        let rng = &mut self.rng;
        let mut best: Option<(&EndpointView, f64)> = None;
        // Ejected endpoints are better than none.
        let healthy = views().any(|v| !v.is_ejected(now));
        // One that is slow now takes several times as long, so an endpoint that has just told of
        // room goes before those that are better on average.
        let mut best_is_known = false;
        for view in views().filter(|v| !healthy || !v.is_ejected(now)) {
            let cost = cost(view, now, &baseline, zone, rng.random::<f64>());
            let has_recent_report = view.is_known_available(now, KNOWN_FOR);
            if !fits(view, now, &baseline, req) || best_is_known && !has_recent_report {
                continue;
            }
            let is_better = has_recent_report && !best_is_known;
            if is_better || best.is_none_or(|(_, least)| cost < least) {
                best = Some((view, cost));
                best_is_known = has_recent_report;
            }
        }
        let Some((view, _)) = best else {
            return Err(PlacementError::NoCapacity {
                retry_after: retry_after(&baseline),
            });
        };
        let seconds = view.expected_latency_s(now, &baseline);
        let crowded = view.is_congested(now, &baseline);
        let report_age = view.report_age(now);
        let slowdown = view.recent_slowdown(now, KNOWN_FOR);
        let endpoint = Arc::clone(&view.endpoint);
        if let Some(view) = service.endpoints.get_mut(&endpoint.id) {
            view.record_attempt_start(now);
        }
        Ok(Placement {
            endpoint,
            expected_latency: Duration::from_secs_f64(seconds),
            service_time: Duration::from_secs_f64(baseline.service_time_s),
            started_at: now,
            report_age,
            slowdown,
            crowded,
        })
    }

    /// Takes in the end of an attempt.
    pub fn record_attempt_end(
        &mut self,
        now: Instant,
        placement: &Placement,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    ) {
        let endpoint = &placement.endpoint;
        let Some(service) = self.services.get_mut(&endpoint.service) else {
            return;
        };
        let latency = now.saturating_duration_since(placement.started_at);
        if outcome == AttemptOutcome::Answered {
            let queued = load.as_ref().is_some_and(|l| l.waiting > 0);
            let slowdown = match service.has_load_reports() {
                // The slowdown at the begin of work holds for all of it; another one tells nothing.
                true => placement.slowdown,
                false => Some(1.0),
            };
            if let Some(slowdown) = slowdown.filter(|_| !queued) {
                let work = placement.service_time.as_secs_f64();
                service.record_response_time(now, latency, slowdown, work);
            }
            let congestion_slowdown = if placement.crowded {
                service.baseline(latency).congestion_slowdown
            } else {
                1.0
            };
            let calm = placement.expected_latency.as_secs_f64() / congestion_slowdown;
            service.record_latency_ratio(now, placement.crowded, latency.as_secs_f64() / calm);
        }
        let own = service
            .view(&endpoint.id)
            .map_or(0, EndpointView::in_flight);
        if let Some(load) = &load {
            service.record_report(now, own, load);
        }
        let Some(view) = service.endpoints.get_mut(&endpoint.id) else {
            return;
        };
        view.record_attempt_end(now, placement.started_at, outcome);
        if outcome == AttemptOutcome::Answered {
            view.record_latency_ratio(
                now,
                latency.as_secs_f64() / placement.expected_latency.as_secs_f64(),
            );
        }
        match load {
            Some(load) => view.record_report(now, load),
            None if outcome == AttemptOutcome::Shed => view.record_full(now),
            None => {}
        }
    }

    /// Whether any service has an endpoint that takes requests.
    pub fn has_endpoints(&self) -> bool {
        let mut views = self.services.values().flat_map(|s| s.endpoints.values());
        views.any(EndpointView::accepts_requests)
    }
}

/// Seconds that speak against an endpoint; the least is chosen.
fn cost(
    view: &EndpointView,
    now: Instant,
    baseline: &ServiceBaseline,
    zone: &Arc<str>,
    random: f64,
) -> f64 {
    let distance = if view.endpoint.zone == *zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    let slots = f64::from(view.endpoint.slots.max(1));
    let filled = (view.expected_requests(now, baseline) / slots).min(1.0) * FILL_COST;
    let extra = (distance + filled + random * JITTER) * baseline.service_time_s;
    view.expected_latency_s(now, baseline) + view.penalty_s(now, baseline) + extra
}

/// Whether an endpoint should answer in time.
fn fits(
    view: &EndpointView,
    now: Instant,
    baseline: &ServiceBaseline,
    req: &PlacementRequest<'_>,
) -> bool {
    let in_time = view.min_latency_s(now, baseline) < req.time_left.as_secs_f64();
    let soon = view.expected_latency_s(now, baseline) <= req.max_latency.as_secs_f64();
    in_time && soon && has_room(view, now, baseline, req)
}

fn has_room(
    view: &EndpointView,
    now: Instant,
    baseline: &ServiceBaseline,
    req: &PlacementRequest<'_>,
) -> bool {
    let slots = f64::from(view.endpoint.slots.max(1));
    let calm = if baseline.congestion_slowdown > MAX_CROWDING {
        CONGESTED_SHARE
    } else {
        1.0
    };
    let fill = match req.rank {
        0 => calm + URGENT_SHARE,
        _ => calm,
    };
    let share = if req.needs_spare_capacity {
        fill * SPARE_SHARE
    } else {
        fill
    };
    view.expected_requests(now, baseline) + 1.0 <= (slots * share).max(1.0) + ROUNDING
}

/// Room is likely after about one work time.
fn retry_after(baseline: &ServiceBaseline) -> Duration {
    Duration::from_secs_f64(baseline.service_time_s).max(MIN_RETRY_AFTER)
}
