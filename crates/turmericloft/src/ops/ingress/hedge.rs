//! When requests are hedged: within the limit of the operators, or by the expected time if they set none.

use std::{sync::Arc, time::Instant};

use super::{
    attempt::ForwardedRequest,
    client_response::ClientResponse,
    forward::Forwarder,
    in_flight_attempt::InFlightAttempt,
    metrics::{count_hedge_end, count_hedge_refusal, count_hedge_sent},
    probe::probe_endpoints,
    quotas::take_grant,
    shared::Ingress,
};
use crate::core::{
    hedging::{HedgeLimit, HedgeRefusal, HedgeRun},
    placement::{Placement, PlacementRequest, ServiceRoom},
};

/// Delay after which an idempotent request is hedged, in multiples of the first attempt's expected
/// response time.
const HEDGE_DELAY_FACTOR: f64 = 1.4;
/// Time reserved for the second endpoint, and least time given to the first one, in multiples of
/// the service time.
const HEDGE_SERVICE_TIMES: f64 = 1.2;
/// Rounds of probes for a free endpoint: the first attempt may end any moment.
const PROBE_ROUNDS: u32 = 2;

impl Ingress {
    /// Changes the share of requests that may be hedged; `None` leaves hedges to the retry budget alone.
    pub fn set_hedge_limit(&self, limit: Option<HedgeLimit>) {
        let mut hedging = self.hedging.lock();
        if hedging.limit() != limit {
            log::info!(
                "limit of hedges changed share={:?}",
                limit.map(HedgeLimit::share)
            );
        }
        hedging.set_limit(limit);
    }

    /// Whether operators limit hedges, so that they are not left to the retry budget.
    pub(super) fn limits_hedges(&self) -> bool {
        self.hedging.lock().limit().is_some()
    }
}

/// When a request that arrived at `arrived` may be hedged, if its first attempt is sent as `first`; `None` if not at
/// all.
pub(super) fn first_hedge_at(
    ingress: &Ingress,
    forwarded: &ForwardedRequest,
    first: &Placement,
    arrived: Instant,
) -> Option<Instant> {
    let route = &forwarded.route;
    if !ingress.limits_hedges() {
        return Some(hedge_at(first, arrived + route.target_latency));
    }
    let delay = ingress.hedging.lock().delay(&route.name)?;
    Some(first.started_at + delay)
}

/// Time at which a hedge is sent: when the first attempt is late, or earlier if a second endpoint
/// could not meet the target otherwise.
fn hedge_at(first: &Placement, target: Instant) -> Instant {
    let late_at = first.started_at + first.expected_latency.mul_f64(HEDGE_DELAY_FACTOR);
    let latest = target
        .checked_sub(first.service_time.mul_f64(HEDGE_SERVICE_TIMES))
        .unwrap_or(target);
    late_at
        .min(latest)
        .max(first.started_at + first.service_time.mul_f64(HEDGE_SERVICE_TIMES))
}

/// Chooses a free endpoint for a hedge, and takes the hedge from the limit and the retry budget.
async fn place_hedge(
    ingress: &Arc<Ingress>,
    req: &PlacementRequest<'_>,
) -> Result<Placement, HedgeRefusal> {
    let room = ingress.balancer.lock().service_room(ingress.now(), req);
    let has_waiting = ingress.queue.lock().has_waiting(req.service);
    ingress.hedging.lock().check(ServiceRoom {
        is_short: room.is_short || has_waiting,
        ..room
    })?;
    probe_endpoints(ingress, req, PROBE_ROUNDS).await;
    let now = ingress.now();
    let placement = ingress.balancer.lock().place_at_free(now, req);
    let placement = placement.ok_or(HedgeRefusal::NoFreeEndpoint)?;
    let refusal = if !ingress.hedging.lock().try_take() {
        HedgeRefusal::Limit
    } else if !ingress.balancer.lock().try_take_retry(now, req.service) {
        HedgeRefusal::NoRetry
    } else {
        return Ok(placement);
    };
    drop(InFlightAttempt::new(Arc::clone(ingress), placement));
    Err(refusal)
}

impl Forwarder {
    /// Sends the request to a second endpoint, if the limit of hedges and the retry budget allow it. Returns when to
    /// try again; `None` if it was sent or may not be sent again.
    pub(super) async fn hedge(&mut self) -> Option<Instant> {
        if !self.may_send_again(self.ingress.now()) {
            count_hedge_refusal(HedgeRefusal::NoRetry);
            return None;
        }
        match place_hedge(&self.ingress, &self.placement_request(true)).await {
            Ok(placement) => {
                let Ok(grant) = take_grant(&self.ingress, &self.forwarded).await else {
                    self.release(placement);
                    return None;
                };
                let (hedge, sent_at) = (self.tried.len(), placement.started_at);
                self.hedge_run = Some(HedgeRun::new(hedge, self.last_sent_at, sent_at));
                count_hedge_sent();
                self.start(placement, grant);
                None
            }
            Err(refusal) => {
                count_hedge_refusal(refusal);
                let hedging = self.ingress.hedging.lock();
                let after = hedging.recheck_after(&self.forwarded.route.name)?;
                Some(self.ingress.now() + after)
            }
        }
    }

    /// Records how long the request took since its first attempt was sent, and what a hedge was worth. `attempt` is
    /// the number of the attempt that ended last.
    pub(super) fn record_latency(
        &self,
        first_sent_at: Instant,
        attempt: usize,
        response: &ClientResponse,
    ) {
        let now = self.ingress.now();
        if let Some(run) = self.hedge_run {
            let (winner, wasted) = run.end(now, attempt, !self.attempts.is_empty());
            count_hedge_end(winner, wasted);
        }
        if self.is_idempotent() && matches!(response, ClientResponse::Endpoint(_)) {
            let latency = now.saturating_duration_since(first_sent_at);
            let mut hedging = self.ingress.hedging.lock();
            hedging.record_latency(&self.forwarded.route.name, latency);
        }
    }
}
