//! When a stopping gateway does what.

use std::time::{Duration, Instant};

/// Time after the stop signal at which idle client connections are closed. The load balancer in front checks
/// readiness every second and sends no more clients after two failures.
pub const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2_800);
/// Part of the grace period reserved for the process to exit.
const EXIT_RESERVE: Duration = Duration::from_millis(500);
/// Time to write the responses to requests that can't be finished.
const RESPONSE_RESERVE: Duration = Duration::from_millis(300);
/// Time in which the response of an endpoint to a request with the latest deadline arrives.
const TRANSIT_RESERVE: Duration = Duration::from_millis(200);
/// In a grace period that is too short for the times above, part of it until idle connections are closed, as a
/// divisor.
const CLOSE_IDLE_DIVISOR: u32 = 2;
/// In such a grace period, part of it for each of the reserves, as a divisor.
const RESERVE_DIVISOR: u32 = 12;

/// When a stopping gateway does what. The times are in the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainPlan {
    /// Idle connections are closed, and no more are accepted.
    pub close_idle_at: Instant,
    /// Latest deadline of requests that arrive while the gateway stops.
    pub latest_deadline: Instant,
    /// Requests that have no response yet get one of the gateway.
    pub respond_by: Instant,
    /// The process ends, whatever is unfinished.
    pub cut_off_at: Instant,
}

impl DrainPlan {
    /// Plans the stop of a gateway that is told to stop at `now` and killed after `grace_period`.
    pub fn new(now: Instant, grace_period: Duration) -> Self {
        let reserve = grace_period / RESERVE_DIVISOR;
        let cut_off_after = grace_period - EXIT_RESERVE.min(reserve);
        let respond_after = cut_off_after - RESPONSE_RESERVE.min(reserve);
        let latest_deadline = respond_after - TRANSIT_RESERVE.min(reserve);
        let close_idle_after = CLOSE_IDLE_AFTER.min(grace_period / CLOSE_IDLE_DIVISOR);
        Self {
            close_idle_at: now + close_idle_after,
            latest_deadline: now + latest_deadline,
            respond_by: now + respond_after,
            cut_off_at: now + cut_off_after,
        }
    }

    /// Deadline of a request that arrives while the gateway stops, and whose client waits until `deadline`; `None` if it
    /// is refused. From the closing of idle connections on the stop would cut off work that its client still waits for.
    pub fn bound(&self, arrived: Instant, deadline: Instant) -> Option<Instant> {
        let is_cut_short = deadline > self.latest_deadline;
        let is_late = arrived >= self.close_idle_at;
        (!(is_late && is_cut_short)).then(|| deadline.min(self.latest_deadline))
    }
}
