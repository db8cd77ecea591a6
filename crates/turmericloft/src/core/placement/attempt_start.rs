//! The start of an attempt at an endpoint.

use std::{sync::Arc, time::Instant};

use super::{
    Placement, balancer::FRESHNESS_WINDOW, endpoint_view::EndpointView,
    service_view::ServiceBaseline,
};
use crate::core::saturating::duration_of_seconds;

/// Counts a request as in flight at an endpoint from `now` on.
pub(super) fn start_attempt(
    now: Instant,
    view: &mut EndpointView,
    baseline: &ServiceBaseline,
) -> Placement {
    let placement = Placement {
        endpoint: Arc::clone(&view.endpoint),
        expected_latency: duration_of_seconds(view.expected_latency_s(now, baseline)),
        service_time: duration_of_seconds(baseline.service_time_s),
        started_at: now,
        report_age: view.report_age(now),
        reported_slowdown: view.recent_slowdown(now, FRESHNESS_WINDOW),
        is_congested: view.is_congested(now, baseline),
    };
    view.record_attempt_start(now);
    placement
}
