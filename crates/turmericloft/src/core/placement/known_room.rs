//! Endpoints that have just reported room, while the best one by estimate may be full.
//!
//! Load pattern: near the capacity of all endpoints, the probes for a request find all slots in use. Endpoints without
//! a recent report still look better than those, as their estimate decays to the mean of the service, and requests of
//! several gateways meet at them.

use std::time::Instant;

use super::{
    PlacementRequest,
    balancer::FRESHNESS_WINDOW,
    endpoint_cost::{LOAD_TOLERANCE, is_in_time},
    endpoint_view::EndpointView,
    service_view::ServiceBaseline,
};

/// Whether an endpoint may be full by estimate and has not reported just now. Requests that need spare capacity
/// never use an endpoint without a free slot, so there is no known one to prefer for them.
pub(super) fn is_guess(
    view: &EndpointView,
    now: Instant,
    baseline: &ServiceBaseline,
    req: &PlacementRequest<'_>,
) -> bool {
    !req.needs_spare_capacity
        && !view.has_recent_report(now, FRESHNESS_WINDOW)
        && (view.is_congested(now, baseline) || !leaves_a_slot(view, now, baseline))
}

/// Whether the estimate leaves a free slot beyond this request, as another gateway may choose the endpoint at the same
/// time.
fn leaves_a_slot(view: &EndpointView, now: Instant, baseline: &ServiceBaseline) -> bool {
    let slots = f64::from(view.endpoint.slots.max(1));
    view.expected_requests(now, baseline) + 2.0 <= slots + LOAD_TOLERANCE
}

/// Whether an endpoint has just reported normal speed and an empty queue, so that one more request is not one too many.
/// It is preferred only to a guess: otherwise requests wait at the gateway, where they can go to any endpoint.
pub(super) fn has_known_room(
    view: &EndpointView,
    now: Instant,
    baseline: &ServiceBaseline,
    req: &PlacementRequest<'_>,
) -> bool {
    view.has_empty_queue(now, FRESHNESS_WINDOW)
        && !view.may_be_full(now)
        && !view.is_ejected(now)
        && is_in_time(view, now, baseline, req)
}
