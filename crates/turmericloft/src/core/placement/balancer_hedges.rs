//! Endpoints for hedges at the balancer: only those that are known to be free, and none while room is short.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::{
    Balancer, Placement, PlacementRequest, ServiceRoom,
    attempt_start::start_attempt,
    balancer::FRESHNESS_WINDOW,
    endpoint_cost::{ZoneCosts, cost, is_eligible},
    endpoint_view::EndpointView,
    received_report::MAX_NORMAL_SLOWDOWN,
};

/// Share of the slots in use from which a service is short of room: endpoints slow down from 0.8 on.
const SHORT_OF_ROOM_SHARE: f64 = 0.7;
/// Age of reports that show whether endpoints are slow: noisy neighbours last for half a second.
const SLOW_REPORT_AGE: Duration = Duration::from_millis(500);

impl Balancer {
    /// Room of a service for extra requests. A service that is not known is short of room.
    pub fn service_room(&self, now: Instant, req: &PlacementRequest<'_>) -> ServiceRoom {
        let Some(service) = self.services.get(req.service) else {
            return ServiceRoom {
                is_short: true,
                is_mostly_slow: false,
            };
        };
        let baseline = service.baseline(req.target_latency);
        let views = || {
            let views = service.endpoints.values();
            views.filter(|v| v.accepts_requests())
        };
        let slots: f64 = views().map(|v| f64::from(v.endpoint.slots.max(1))).sum();
        let used: f64 = views().map(|v| v.expected_requests(now, &baseline)).sum();
        let reported: Vec<_> = views()
            .filter_map(|v| v.recent_slowdown(now, SLOW_REPORT_AGE))
            .collect();
        let slow = reported.iter().filter(|s| **s >= MAX_NORMAL_SLOWDOWN);
        ServiceRoom {
            is_short: used >= slots * SHORT_OF_ROOM_SHARE,
            is_mostly_slow: slow.count() * 2 > reported.len(),
        }
    }

    /// Chooses an endpoint that has just reported a free slot at normal speed and counts the request as in flight
    /// there. `None` if there is none.
    pub fn place_at_free(&mut self, now: Instant, req: &PlacementRequest<'_>) -> Option<Placement> {
        let service = self.services.get_mut(req.service)?;
        let baseline = service.baseline(req.target_latency);
        let (notices, limits) = (&self.notices, &self.limits);
        let is_free = |v: &&EndpointView| {
            v.accepts_requests()
                && v.is_known_available(now, FRESHNESS_WINDOW)
                && !v.is_ejected(now)
                && !notices.excludes(now, &v.endpoint)
                && limits.allows_request(now, &v.endpoint.id)
                && !req.tried.contains(&v.endpoint.id)
                && is_eligible(v, now, &baseline, req)
        };
        let zones = ZoneCosts::new(&self.zone, service, req);
        let rng = &mut self.rng;
        let free = service.endpoints.values().filter(is_free);
        let costs = free.map(|v| (cost(v, now, &baseline, &zones, rng.random::<f64>()), v));
        let (_, best) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let id = best.endpoint.id.clone();
        self.limits.record_request(now, &id);
        let view = service.endpoints.get_mut(&id)?;
        Some(start_attempt(now, view, &baseline))
    }
}
