//! Limits of endpoints at the balancer: what responses say of them, and loans of other gateways' shares.

use std::time::{Duration, Instant};

use rand::{RngExt, seq::SliceRandom};

use super::{
    Balancer, DiscoveredEndpoint, Placement, PlacementError, PlacementRequest,
    attempt_start::start_attempt,
};
use crate::core::rate_limit::{
    EndpointLimits, Lender, LimitChange, LoanAnswer, RateLimit, SharingGateways, StatedLimit,
};

impl Balancer {
    /// Why a request gets no endpoint although its service is known. `spread` is the time after which its client
    /// returns if nothing else is known.
    pub(super) fn unplaced(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
        spread: Duration,
    ) -> PlacementError {
        let (notices, limits) = (&self.notices, &self.limits);
        let endpoints = self.services.get(req.service).map(|s| &s.endpoints);
        let registered = || {
            let views = endpoints.into_iter().flat_map(|views| views.values());
            views.filter(|v| v.accepts_requests())
        };
        let limited = registered().filter(|v| {
            !notices.excludes(now, &v.endpoint)
                && limits.is_limited(&v.endpoint.id)
                && !req.tried.contains(&v.endpoint.id)
        });
        let limited: Vec<_> = limited.map(|v| &v.endpoint.id).collect();
        if !limited.is_empty() {
            let wait = limits.wait_for_request(now, limited.into_iter());
            let retry_after = wait.mul_f64(0.5 + self.rng.random::<f64>());
            return PlacementError::Limited { retry_after };
        }
        let accepts_at = registered().filter_map(|v| notices.accepts_at(now, &v.endpoint));
        let wait = accepts_at.min().map(|at| at.saturating_duration_since(now));
        PlacementError::NoEndpoint {
            retry_after: wait.unwrap_or_default() + spread,
        }
    }

    /// Records what a response of `endpoint` to a request sent at `sent_at` says of its limit, and returns
    /// what has changed.
    pub fn record_limit(
        &mut self,
        now: Instant,
        sent_at: Instant,
        endpoint: &DiscoveredEndpoint,
        stated: StatedLimit,
    ) -> Option<LimitChange> {
        self.limits.record_response(now, sent_at, endpoint, stated)
    }

    /// Sets which gateways share the limits of endpoints.
    pub fn set_sharing(&mut self, now: Instant, sharing: SharingGateways) {
        self.cold.set_sharing(sharing.clone());
        self.limits.set_sharing(now, sharing);
    }

    /// Limits of endpoints that this gateway knows.
    pub fn limits(&self) -> &EndpointLimits {
        &self.limits
    }

    /// Limits of endpoints that this gateway knows, to be changed.
    pub fn limits_mut(&mut self) -> &mut EndpointLimits {
        &mut self.limits
    }

    /// Chooses a gateway to ask for a request of its share of an endpoint's limit, when no endpoint of the service
    /// may get a request of this gateway.
    pub fn choose_lender(&mut self, now: Instant, req: &PlacementRequest<'_>) -> Option<Lender> {
        let service = self.services.get(req.service)?;
        let views = service.endpoints.values().filter(|v| {
            v.accepts_requests()
                && !self.notices.excludes(now, &v.endpoint)
                && self.limits.is_limited(&v.endpoint.id)
                && !req.tried.contains(&v.endpoint.id)
        });
        let mut ids: Vec<_> = views.map(|v| v.endpoint.id.clone()).collect();
        ids.shuffle(&mut self.rng);
        let (limits, rng) = (&mut self.limits, &mut self.rng);
        ids.iter()
            .find_map(|id| limits.choose_lender(now, id, rng.random::<f64>()))
    }

    /// Decides whether another gateway may send a request to an endpoint with this limit. Returns what has changed
    /// if this gateway did not know the limit.
    pub fn lend(
        &mut self,
        now: Instant,
        endpoint: &str,
        limit: RateLimit,
    ) -> (LoanAnswer, Option<LimitChange>) {
        let mut services = self.services.values();
        let Some(view) = services.find_map(|service| service.endpoints.get(endpoint)) else {
            return (LoanAnswer::Denied { free_in: None }, None);
        };
        let change = self.limits.learn(now, &view.endpoint, limit);
        (self.limits.lend(now, endpoint), change)
    }

    /// Places a request by a loan that was asked for at `asked_at`. Returns `None` if the endpoint may be full or accepts no
    /// requests any more.
    pub fn place_on_loan(
        &mut self,
        asked_at: Instant,
        req: &PlacementRequest<'_>,
        lender: &Lender,
    ) -> Option<Placement> {
        let service = self.services.get_mut(req.service)?;
        let baseline = service.baseline(req.target_latency);
        let view = service.endpoints.get_mut(&lender.endpoint)?;
        let is_usable = view.accepts_requests()
            && !view.may_be_full(asked_at)
            && !self.notices.excludes(asked_at, &view.endpoint)
            && self.cold.try_take_check(asked_at, &lender.endpoint);
        is_usable.then(|| start_attempt(asked_at, view, &baseline))
    }
}
