//! Cost of an endpoint for a request, and whether it may get the request at all.

use std::time::Instant;

use super::{
    PlacementRequest,
    endpoint_view::EndpointView,
    service_view::{CONGESTED_SHARE, ServiceBaseline, ServiceView},
    transfer_size::{is_large, zone_penalty},
};

/// Penalty for an endpoint with all slots in use, in multiples of the mean service time. Of
/// otherwise equal endpoints, the one with more free slots can absorb more unreported requests.
const FILL_PENALTY: f64 = 0.2;
/// Range of the random part of each cost, in multiples of the mean service time: gateways with the
/// same information must not all choose the same endpoint.
const JITTER: f64 = 0.2;
/// Congestion slowdown above which a congested endpoint has a lower throughput than an uncongested
/// one.
const MAX_CONGESTION_SLOWDOWN: f64 = 1.2;
/// Additional share of an endpoint's slots that requests of rank 0 may use.
const URGENT_EXTRA_SHARE: f64 = 0.2;
/// Requests by which the expected load may exceed the limit, as it is a mean and not a count.
pub(super) const LOAD_TOLERANCE: f64 = 0.3;
/// Share of the limit up to which requests that need spare capacity may fill an endpoint, such as
/// retries while the first attempt is pending.
const SPARE_CAPACITY_SHARE: f64 = 0.75;

/// What it costs one request to stay in the zone of its gateway or to leave it. Traffic between zones is expensive.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneCosts<'a> {
    own_zone: &'a str,
    /// Whether the request moves so many bytes that its zone matters more than a recent report.
    is_large: bool,
    /// Penalties in multiples of the mean service time.
    leave: f64,
    stay: f64,
}

impl<'a> ZoneCosts<'a> {
    pub(super) fn new(
        own_zone: &'a str,
        service: &ServiceView,
        req: &PlacementRequest<'_>,
    ) -> Self {
        Self {
            own_zone,
            is_large: is_large(req.transfer_bytes),
            leave: zone_penalty(req.transfer_bytes),
            stay: service.zone_room.slot_price(),
        }
    }

    /// Whether an endpoint that is known to have capacity is preferred to others whatever it costs.
    pub(super) fn prefers_available(&self, view: &EndpointView) -> bool {
        !self.is_large || self.is_own(view)
    }

    fn penalty(&self, view: &EndpointView) -> f64 {
        if self.is_own(view) {
            self.stay
        } else {
            self.leave
        }
    }

    fn is_own(&self, view: &EndpointView) -> bool {
        *view.endpoint.zone == *self.own_zone
    }
}

/// Cost of an endpoint in seconds: expected latency and penalties. The lowest is chosen.
pub(super) fn cost(
    view: &EndpointView,
    now: Instant,
    baseline: &ServiceBaseline,
    zones: &ZoneCosts<'_>,
    random: f64,
) -> f64 {
    let zone_penalty = zones.penalty(view);
    let slots = f64::from(view.endpoint.slots.max(1));
    let fill_penalty = (view.expected_requests(now, baseline) / slots).min(1.0) * FILL_PENALTY;
    let other_penalties = (zone_penalty + fill_penalty + random * JITTER) * baseline.service_time_s;
    view.expected_latency_s(now, baseline) + view.penalty_s(now, baseline) + other_penalties
}

/// Whether an endpoint has capacity and should respond in time.
pub(super) fn is_eligible(
    view: &EndpointView,
    now: Instant,
    baseline: &ServiceBaseline,
    req: &PlacementRequest<'_>,
) -> bool {
    is_in_time(view, now, baseline, req) && has_capacity(view, now, baseline, req)
}

/// Whether an endpoint should respond in time.
pub(super) fn is_in_time(
    view: &EndpointView,
    now: Instant,
    baseline: &ServiceBaseline,
    req: &PlacementRequest<'_>,
) -> bool {
    let can_meet_deadline = view.min_latency_s(now, baseline) < req.time_left.as_secs_f64();
    let is_within_max_latency =
        view.expected_latency_s(now, baseline) <= req.max_latency.as_secs_f64();
    can_meet_deadline && is_within_max_latency
}

fn has_capacity(
    view: &EndpointView,
    now: Instant,
    baseline: &ServiceBaseline,
    req: &PlacementRequest<'_>,
) -> bool {
    if view.may_be_full(now) {
        return false;
    }
    let slots = f64::from(view.endpoint.slots.max(1));
    let base_share = if baseline.congestion_slowdown > MAX_CONGESTION_SLOWDOWN {
        CONGESTED_SHARE
    } else {
        1.0
    };
    let rank_share = match req.rank {
        0 => base_share + URGENT_EXTRA_SHARE,
        _ => base_share,
    };
    let share = if req.needs_spare_capacity {
        rank_share * SPARE_CAPACITY_SHARE
    } else {
        rank_share
    };
    view.expected_requests(now, baseline) + 1.0 <= (slots * share).max(1.0) + LOAD_TOLERANCE
}
