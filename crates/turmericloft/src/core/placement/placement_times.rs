//! Until when it is worth placing a request.
//!
//! Load pattern: all endpoints are full for fractions of a second, and a client calls again with the rest of
//! its time. A response after that is of no use to it, so the rest bounds the wait and the choice of the
//! endpoint, even if the route's target latency is longer.

use std::time::{Duration, Instant};

use crate::core::saturating::instant_after;

/// Share of the time to the target for which a request may wait for capacity.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Share of the time to the deadline within which a response has to be expected once the target
/// cannot be met.
const LATE_SHARE: f64 = 0.8;

/// The instants that bound the placement of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementTimes {
    /// When the response should arrive. Never after the deadline.
    pub target: Instant,
    /// Until when the request may wait for an endpoint that responds by the target.
    pub wait_until: Instant,
    /// When the client stops waiting.
    pub deadline: Instant,
}

impl PlacementTimes {
    /// The bounds for a request that arrived at `arrived`, on a route with this target latency.
    pub fn new(arrived: Instant, target_latency: Duration, deadline: Instant) -> Self {
        let target = deadline.min(instant_after(arrived, target_latency));
        let to_target = target.saturating_duration_since(arrived);
        Self {
            target,
            wait_until: arrived + to_target.mul_f64(MAX_WAIT_SHARE),
            deadline,
        }
    }

    /// Largest expected latency of an endpoint that responds by the target.
    pub fn max_latency(&self, now: Instant) -> Duration {
        self.target.saturating_duration_since(now)
    }

    /// Largest expected latency of an endpoint for a request that misses its target.
    pub fn max_late_latency(&self, now: Instant) -> Duration {
        self.time_left(now).mul_f64(LATE_SHARE)
    }

    /// Time until the client stops waiting.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
