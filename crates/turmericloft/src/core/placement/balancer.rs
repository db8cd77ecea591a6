//! Choice of the endpoint for a request.
//!
//! Load pattern: endpoints have few slots and run several times slower for fractions of a second,
//! independently of each other, and a gateway rarely gets a report from each of them. The expected
//! latency combines the last load report, which decays to the mean of the service within that time,
//! with the gateway's own requests in flight, which it always knows exactly. Requests that no
//! endpoint can serve in time are rejected at once.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{
    AttemptOutcome, DiscoveredEndpoint, EndpointNotice, LoadReport, Placement, PlacementError,
    PlacementRequest, Probe, ProbeOutcome, RetryBudget,
    attempt_start::start_attempt,
    endpoint_cost::{ZoneCosts, cost, is_eligible},
    endpoint_notice::EndpointNotices,
    endpoint_view::EndpointView,
    known_room::{has_known_room, is_guess},
    retry_after::retry_after,
    service_view::ServiceView,
};
use crate::core::{
    evacuation::EvacuatedZones, rate_limit::EndpointLimits, saturating::duration_of_seconds,
    slow_start::ColdEndpoints,
};

/// Age below which a load report is recent enough to place a request without another probe.
pub(super) const FRESHNESS_WINDOW: Duration = Duration::from_millis(12);
/// Endpoints probed in one round before a request is sent.
const PROBES_PER_ROUND: usize = 3;
/// Endpoints with limits that are left to more urgent requests, while no other endpoint can be used.
const KEPT_FOR_URGENT: usize = 1;
/// Mean time after which a client is told to retry when a service has no endpoint.
pub(super) const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// One gateway's estimates of all endpoints, and the choice between them.
#[derive(Debug)]
pub struct Balancer {
    pub(super) zone: Arc<str>,
    retry_budget: RetryBudget,
    /// Probes per second and endpoint allowed from this gateway; `None` if unlimited.
    probe_rate: Option<f64>,
    /// Gateways that share the endpoints, including this one.
    pub(super) gateways: usize,
    pub(super) services: HashMap<Arc<str>, ServiceView>,
    pub(super) notices: EndpointNotices,
    pub(super) limits: EndpointLimits,
    pub(super) evacuated: EvacuatedZones,
    pub(super) cold: ColdEndpoints,
    pub(super) rng: Pcg64Mcg,
}

impl Balancer {
    /// Creates a balancer without endpoints for a gateway in `zone`. Each service gets a copy of
    /// `retry_budget`.
    pub fn new(zone: Arc<str>, retry_budget: RetryBudget, rng: Pcg64Mcg) -> Self {
        Self {
            zone,
            retry_budget,
            probe_rate: None,
            gateways: 1,
            services: HashMap::new(),
            notices: EndpointNotices::default(),
            limits: EndpointLimits::default(),
            evacuated: EvacuatedZones::default(),
            cold: ColdEndpoints::default(),
            rng,
        }
    }

    /// Limits the probes per second that each endpoint gets from this gateway.
    pub fn set_probe_rate(&mut self, per_endpoint: f64) {
        self.probe_rate = Some(per_endpoint);
    }

    /// Sets the number of gateways that share the endpoints, including this one.
    pub fn set_gateways(&mut self, gateways: usize) {
        self.gateways = gateways;
        self.retry_budget.share_reserve(gateways);
        let services = self.services.values_mut();
        services.for_each(|s| s.retry_budget.share_reserve(gateways));
    }

    /// Applies the full list of endpoints. Estimates of endpoints that stay are kept.
    pub fn set_endpoints(&mut self, now: Instant, endpoints: &[DiscoveredEndpoint]) {
        self.notices.retain_registered(now, endpoints);
        self.limits.retain_registered(now, endpoints);
        self.cold.set_endpoints(now, endpoints);
        let listed: HashSet<_> = endpoints.iter().map(|e| &e.id).collect();
        for service in self.services.values_mut() {
            service.endpoints.retain(|id, _| listed.contains(id));
        }
        for endpoint in endpoints {
            let retry_budget = &self.retry_budget;
            let service = self
                .services
                .entry(Arc::clone(&endpoint.service))
                .or_insert_with(|| ServiceView::new(now, retry_budget.clone()));
            match service.endpoints.get_mut(&endpoint.id) {
                Some(view) => view.update(now, endpoint),
                None => {
                    let view = EndpointView::new(now, endpoint.clone());
                    service.endpoints.insert(endpoint.id.clone(), view);
                }
            }
        }
        self.mark_evacuated();
    }

    /// Records a client's request to a service, which adds to its retry and probe budgets.
    pub fn record_request(&mut self, now: Instant, service: &str) {
        if let Some(service) = self.services.get_mut(service) {
            service.retry_budget.record_request(now);
            service.probe_budget.record_request();
        }
    }

    /// Takes one retry from a service's budget. Returns false if none is left.
    pub fn try_take_retry(&mut self, now: Instant, service: &str) -> bool {
        let service = self.services.get_mut(service);
        service.is_some_and(|s| s.retry_budget.try_take(now))
    }

    /// Chooses the endpoints to probe before a request is placed. Returns none if the best endpoint
    /// is known to have capacity, if the probe budget is used up, or if the service's endpoints
    /// send no load reports.
    pub fn choose_probes(&mut self, now: Instant, req: &PlacementRequest<'_>) -> Vec<Probe> {
        let Some(service) = self.services.get_mut(req.service) else {
            return Vec::new();
        };
        let probes_per_s = self.probe_rate.map(|r| r * service.endpoints.len() as f64);
        let max_probes = PROBES_PER_ROUND.min(service.probe_budget.available(now, probes_per_s));
        if !service.has_load_reports() || max_probes == 0 {
            return Vec::new();
        }
        let baseline = service.baseline(req.target_latency);
        let (notices, limits, cold) = (&self.notices, &self.limits, &self.cold);
        let can_probe = |v: &&mut EndpointView| {
            v.accepts_requests()
                && !limits.is_limited(&v.endpoint.id)
                && cold.allows_probe(now, &v.endpoint.id)
                && !notices.excludes(now, &v.endpoint)
                && !v.is_ejected(now)
                && !req.tried.contains(&v.endpoint.id)
        };
        let zones = ZoneCosts::new(&self.zone, service, req);
        let rng = &mut self.rng;
        let views = service.endpoints.values_mut().filter(can_probe);
        let mut views: Vec<_> = views
            .map(|v| (cost(v, now, &baseline, &zones, rng.random::<f64>()), v))
            .collect();
        views.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        if views
            .first()
            .is_some_and(|(_, v)| v.is_known_available(now, FRESHNESS_WINDOW))
        {
            return Vec::new();
        }
        let candidates = views.into_iter().map(|(_, v)| v);
        let candidates = candidates
            .filter(|v| !v.has_recent_report(now, FRESHNESS_WINDOW) && !v.has_pending_probe());
        let probed = candidates.take(max_probes).map(|v| {
            v.record_probe_start(now);
            self.cold.record_contact(now, &v.endpoint.id);
            Probe {
                endpoint: Arc::clone(&v.endpoint),
            }
        });
        let probes: Vec<_> = probed.collect();
        service.probe_budget.spend(probes.len());
        probes
    }

    /// Records the end of a probe. Returns whether the endpoint has capacity at normal speed.
    pub fn record_probe_end(&mut self, now: Instant, probe: &Probe, outcome: ProbeOutcome) -> bool {
        let endpoint = &probe.endpoint;
        let outcome = match outcome {
            ProbeOutcome::Reported(load) => ProbeOutcome::Reported(load.limited()),
            other => other,
        };
        let Some(service) = self.services.get_mut(&endpoint.service) else {
            return false;
        };
        let own_in_flight = service
            .view(&endpoint.id)
            .map_or(0, EndpointView::in_flight);
        match &outcome {
            ProbeOutcome::Reported(load) => service.record_report(now, own_in_flight, load),
            ProbeOutcome::NoReport => service.record_missing_report(),
            ProbeOutcome::NoResponse => {}
        }
        let Some(view) = service.endpoints.get_mut(&endpoint.id) else {
            return false;
        };
        view.record_probe_end(now, outcome != ProbeOutcome::NoResponse);
        if let ProbeOutcome::Reported(load) = outcome {
            if endpoint.zone == self.zone {
                service.zone_room.record_report(now, &load);
            }
            view.record_report(now, load);
        }
        view.is_known_available(now, FRESHNESS_WINDOW)
    }

    /// Chooses an endpoint and counts the request as in flight there until
    /// [`record_attempt_end`](Self::record_attempt_end).
    pub fn place(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
    ) -> Result<Placement, PlacementError> {
        let spread = NO_ENDPOINT_RETRY_AFTER.mul_f64(0.5 + self.rng.random::<f64>());
        let no_service = PlacementError::NoEndpoint {
            retry_after: spread,
        };
        let service = self.services.get_mut(req.service).ok_or(no_service)?;
        service.urgent.record(now, req.rank);
        service.zone_room.record_request(now, req.transfer_bytes);
        let baseline = service.baseline(req.target_latency);
        let (notices, limits, cold) = (&self.notices, &self.limits, &self.cold);
        let is_candidate = |v: &&EndpointView| {
            v.accepts_requests()
                && !notices.excludes(now, &v.endpoint)
                && limits.allows_request(now, &v.endpoint.id)
                && cold.allows_request(now, &v.endpoint.id)
                && !req.tried.contains(&v.endpoint.id)
        };
        let views = || service.endpoints.values().filter(is_candidate);
        let is_left_to_urgent = service.urgent.has_more_urgent(now, req.rank)
            && views().all(|v| limits.is_limited(&v.endpoint.id))
            && views().count() <= KEPT_FOR_URGENT;
        if is_left_to_urgent || views().next().is_none() {
            let unplaced = self.unplaced(now, req, spread);
            return Err(self.or_wait_for_share(now, req, unplaced));
        }
        let zones = ZoneCosts::new(&self.zone, service, req);
        let rng = &mut self.rng;
        let mut best: Option<(&EndpointView, f64)> = None;
        // Ejected endpoints are used only if there is no other.
        let has_healthy = views().any(|v| !v.is_ejected(now));
        // A slow endpoint takes several times as long, so an endpoint that has just reported
        // capacity is preferred to those with a lower expected cost.
        let mut is_best_available = false;
        for view in views().filter(|v| !has_healthy || !v.is_ejected(now)) {
            let cost = cost(view, now, &baseline, &zones, rng.random::<f64>());
            let is_available =
                zones.prefers_available(view) && view.is_known_available(now, FRESHNESS_WINDOW);
            if !is_eligible(view, now, &baseline, req) || is_best_available && !is_available {
                continue;
            }
            let is_better = is_available && !is_best_available;
            if is_better || best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((view, cost));
                is_best_available = is_available;
            }
        }
        if best.is_some_and(|(v, _)| is_guess(v, now, &baseline, req)) {
            let known = views().filter(|v| has_known_room(v, now, &baseline, req));
            let costs = known.map(|v| (v, cost(v, now, &baseline, &zones, rng.random::<f64>())));
            best = costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).or(best);
        }
        let Some((view, _)) = best else {
            let service_time = duration_of_seconds(baseline.service_time_s);
            let random = self.rng.random::<f64>();
            return Err(PlacementError::NoCapacity {
                retry_after: retry_after(service_time, req.max_latency, random),
            });
        };
        let id = view.endpoint.id.clone();
        self.limits.record_request(now, &id);
        self.record_cold_request(now, req, &id);
        let service = self.services.get_mut(req.service).ok_or(no_service)?;
        let view = service.endpoints.get_mut(&id).ok_or(no_service)?;
        Ok(start_attempt(now, view, &baseline))
    }

    /// Records what an endpoint asked for in a response.
    pub fn record_notice(
        &mut self,
        now: Instant,
        endpoint: &DiscoveredEndpoint,
        notice: EndpointNotice,
    ) {
        self.notices.record(now, endpoint, notice);
    }

    /// Records the end of an attempt and the load report in its response.
    pub fn record_attempt_end(
        &mut self,
        now: Instant,
        placement: &Placement,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    ) {
        let endpoint = &placement.endpoint;
        let load = load.map(LoadReport::limited);
        self.cold.record_attempt_end(now, &endpoint.id, outcome);
        let Some(service) = self.services.get_mut(&endpoint.service) else {
            return;
        };
        let latency = now.saturating_duration_since(placement.started_at);
        if outcome == AttemptOutcome::Answered {
            let was_queued = load.as_ref().is_some_and(|l| l.waiting > 0);
            let slowdown = match service.has_load_reports() {
                // The slowdown at the start applies to the whole request; a later one says nothing
                // about it.
                true => placement.reported_slowdown,
                false => Some(1.0),
            };
            if let Some(slowdown) = slowdown.filter(|_| !was_queued) {
                let service_time_s = placement.service_time.as_secs_f64();
                service.record_response_time(now, latency, slowdown, service_time_s);
            }
            let congestion_slowdown = if placement.is_congested {
                service.baseline(latency).congestion_slowdown
            } else {
                1.0
            };
            let uncongested_s = placement.expected_latency.as_secs_f64() / congestion_slowdown;
            service.record_latency_ratio(
                now,
                placement.is_congested,
                latency.as_secs_f64() / uncongested_s,
            );
        }
        let own_in_flight = service
            .view(&endpoint.id)
            .map_or(0, EndpointView::in_flight);
        if let Some(load) = &load {
            service.record_report(now, own_in_flight, load);
            if endpoint.zone == self.zone {
                service.zone_room.record_report(now, load);
            }
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

    /// Whether any service has an endpoint that accepts requests, ejected or not. An evacuated one counts: the gateway
    /// keeps getting clients, which it tells to return.
    pub fn has_endpoints(&self) -> bool {
        let mut views = self.services.values().flat_map(|s| s.endpoints.values());
        views.any(EndpointView::is_ready)
    }
}
