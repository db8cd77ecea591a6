//! Requests that cannot be placed at once: how many may wait, and when clients should return.

use std::time::Duration;

use rand::RngExt;

use super::{
    Balancer, PlacementRequest,
    balancer::NO_ENDPOINT_RETRY_AFTER,
    endpoint_view::EndpointView,
    queue_limit::{SlotShare, queue_limit},
    retry_after::retry_after,
};
use crate::core::saturating::duration_of_seconds;

impl Balancer {
    /// Number of requests of a service that may wait at this gateway for up to `max_wait`.
    pub fn queue_limit(&self, req: &PlacementRequest<'_>, max_wait: Duration) -> usize {
        let Some(service) = self.services.get(req.service) else {
            return 0;
        };
        let limits = &self.limits;
        // What an endpoint with a limit accepts does not depend on its slots.
        let has_slots =
            |v: &&EndpointView| v.accepts_requests() && !limits.is_limited(&v.endpoint.id);
        let views = || service.endpoints.values().filter(has_slots);
        if views().next().is_none() {
            return 0;
        }
        let share = SlotShare {
            slots: views().fold(0, |sum, v| v.endpoint.slots.saturating_add(sum)),
            gateways: self.gateways,
            own_in_flight: views().map(EndpointView::in_flight).sum(),
        };
        let service_time_s = service.baseline(req.target_latency).service_time_s;
        let service_time = duration_of_seconds(service_time_s);
        queue_limit(share, max_wait, service_time)
    }

    /// Whether an idle endpoint of the service is expected to respond within `time_left`. Always true if the
    /// service is not known.
    pub fn can_respond_within(&self, req: &PlacementRequest<'_>, time_left: Duration) -> bool {
        let Some(service) = self.services.get(req.service) else {
            return true;
        };
        service.baseline(req.target_latency).service_time_s < time_left.as_secs_f64()
    }

    /// When the client of a request that is rejected without a placement should return. A response
    /// within `time_to_target` would meet the target latency.
    pub fn retry_after(
        &mut self,
        req: &PlacementRequest<'_>,
        time_to_target: Duration,
    ) -> Duration {
        let Some(service) = self.services.get(req.service) else {
            return NO_ENDPOINT_RETRY_AFTER;
        };
        let service_time_s = service.baseline(req.target_latency).service_time_s;
        let service_time = duration_of_seconds(service_time_s);
        retry_after(service_time, time_to_target, self.rng.random::<f64>())
    }
}
