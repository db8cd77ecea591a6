//! Cold endpoints at the balancer: they get no more than this gateway's shares of what all gateways may send.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;

use super::{
    Balancer, DiscoveredEndpoint, InstanceId, PlacementError, PlacementRequest,
    endpoint_view::EndpointView,
};
use crate::core::{
    slow_start::{ColdEndpoints, SlowStartBounds},
    traffic::ServiceSettings,
};

impl Balancer {
    /// Sets what is accepted at cold endpoints; `None` makes no endpoint cold. Call it before the first list of endpoints.
    pub fn set_slow_start_bounds(&mut self, bounds: Option<SlowStartBounds>) {
        self.cold = ColdEndpoints::new(bounds);
    }

    /// Sets the slow starts of the services of the active document.
    pub fn set_slow_starts(&mut self, services: &BTreeMap<Arc<str>, ServiceSettings>) {
        self.cold.set_services(services);
    }

    /// Cold endpoints that this gateway knows.
    pub fn cold(&self) -> &ColdEndpoints {
        &self.cold
    }

    /// Cold endpoints that this gateway knows, to be changed.
    pub fn cold_mut(&mut self) -> &mut ColdEndpoints {
        &mut self.cold
    }

    /// Records the slow start that `endpoint` states in response to a health check sent at `sent_at`.
    pub fn record_slow_start(
        &mut self,
        now: Instant,
        sent_at: Instant,
        endpoint: &DiscoveredEndpoint,
        left: Duration,
    ) {
        self.cold.record_stated(now, sent_at, &endpoint.id, left);
    }

    /// Whether what is sent to an endpoint has to arrive soon, because all gateways together send it a bounded number of
    /// requests in a time.
    pub fn has_shares(&self, now: Instant, endpoint: &str) -> bool {
        self.limits.is_limited(endpoint) || self.cold.is_cold(now, endpoint)
    }

    /// Why a request gets no endpoint, if cold endpoints that accept none of this gateway now are all that there is. It
    /// waits as for capacity: a share is due soon, or the slow start ends. Limits come first, as other gateways may lend
    /// their shares of them.
    pub(super) fn or_wait_for_share(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
        unplaced: PlacementError,
    ) -> PlacementError {
        if !matches!(unplaced, PlacementError::NoEndpoint { .. }) {
            return unplaced;
        }
        let left_out = self.left_out(now, req);
        let Some(wait) = self.cold.wait_for_request(now, left_out.iter()) else {
            return unplaced;
        };
        let retry_after = wait.mul_f64(1.0 + self.rng.random::<f64>() / 2.0);
        PlacementError::NoCapacity { retry_after }
    }

    /// Records a request to an endpoint, and whether a cold one was left out.
    pub(super) fn record_cold_request(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
        id: &InstanceId,
    ) {
        if !self.left_out(now, req).is_empty() {
            self.cold.record_kept_away();
        }
        self.cold.record_contact(now, id);
    }

    /// The endpoints that a request may not be sent to only because they are cold.
    fn left_out(&self, now: Instant, req: &PlacementRequest<'_>) -> Vec<InstanceId> {
        let Some(service) = self
            .services
            .get(req.service)
            .filter(|_| self.cold.is_enabled())
        else {
            return Vec::new();
        };
        let is_left_out = |v: &&EndpointView| {
            let id = &v.endpoint.id;
            !self.cold.allows_request(now, id)
                && v.accepts_requests()
                && !self.notices.excludes(now, &v.endpoint)
                && self.limits.allows_request(now, id)
                && !req.tried.contains(id)
        };
        let views = service.endpoints.values().filter(is_left_out);
        views.map(|v| v.endpoint.id.clone()).collect()
    }
}
