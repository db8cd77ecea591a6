//! How many requests all gateways together may send to an endpoint with a limit.
//!
//! Load pattern: hundreds of gateways share an endpoint that accepts one request a second. One request of
//! each gateway would be a hundred times too much, however seldom it sends one. So the limit is divided
//! into whole requests for each interval, and each of them belongs to one gateway.
//!
//! What arrives in any window is accepted up to [`TOLERANCE_FACTOR`] times the limit and
//! [`TOLERANCE_REQUESTS`] more. Half of that is the quota, since two views of who shares it may be in
//! effect at once, less one health check by a gateway without a share.

use std::time::Duration;

use super::RateLimit;
use crate::core::saturating::MAX_TIME;

/// Window in which the requests that arrive at an endpoint are counted.
const COUNTING_WINDOW: Duration = Duration::from_secs(4);
/// What is accepted in a window, in multiples of the limit.
const TOLERANCE_FACTOR: f64 = 1.5;
/// Requests that are accepted in a window beyond that.
const TOLERANCE_REQUESTS: f64 = 5.0;
/// Views of the fleet that may be in effect at the same time.
const VIEWS: u32 = 2;
/// Health checks of gateways without a share in a window. They take turns by the order of a log.
const CHECKS_WITHOUT_SHARE: u32 = 1;

/// Longest time from the decision to send a request until its first byte is sent. One that is later is not
/// sent.
pub const MAX_SEND_DELAY: Duration = Duration::from_millis(400);
/// Longest time for which bytes sent to an endpoint with a limit stay unacknowledged before the connection is
/// closed.
pub const MAX_TRANSIT: Duration = Duration::from_millis(600);
/// Interval in which each gateway sends its share at most once. Requests that are sent an interval apart
/// arrive a window apart, however long the first one is delayed.
pub const SHARE_INTERVAL: Duration = Duration::from_secs(5);

const _: () = assert!(
    SHARE_INTERVAL.as_millis()
        >= COUNTING_WINDOW.as_millis() + MAX_SEND_DELAY.as_millis() + MAX_TRANSIT.as_millis()
);
// An endpoint that accepts next to nothing still has a quota, by which its gateways notice the end of its limit.
const _: () = assert!(TOLERANCE_REQUESTS >= (VIEWS + CHECKS_WITHOUT_SHARE) as f64);

impl RateLimit {
    /// Requests that the gateways of one view of the fleet may send in an interval.
    pub fn quota(self) -> u32 {
        let limited = TOLERANCE_FACTOR * self.per_second() * COUNTING_WINDOW.as_secs_f64();
        let accepted = limited + TOLERANCE_REQUESTS - f64::from(CHECKS_WITHOUT_SHARE);
        (accepted / f64::from(VIEWS)) as u32
    }

    /// Interval of the quota for requests of clients: longer than [`SHARE_INTERVAL`] where the quota would
    /// exceed the limit itself. `None` if the endpoint accepts no requests. Health checks go by
    /// `SHARE_INTERVAL`.
    pub fn request_interval(self) -> Option<Duration> {
        let at_limit = f64::from(self.quota()) / self.per_second();
        let at_limit = Duration::try_from_secs_f64(at_limit).ok()?;
        Some(at_limit.clamp(SHARE_INTERVAL, MAX_TIME))
    }
}
