//! How many requests all gateways together may send to a cold endpoint.

use std::time::Duration;

use crate::core::rate_limit::{MAX_SEND_DELAY, MAX_TRANSIT};

/// Window in which the requests that reach a cold endpoint are counted.
pub const WINDOW: Duration = Duration::from_secs(1);
/// Interval in which each gateway sends its share at most once. Requests that are sent an interval apart arrive a
/// window apart, however long the first one is delayed.
pub const INTERVAL: Duration = Duration::from_secs(2);
/// Age up to which a list of the gateways is used. It is longer than for limits of endpoints, since the list is read
/// less often.
pub const VIEW_VALIDITY: Duration = Duration::from_secs(50);
/// Age at which a gateway with a share of a cold endpoint reads the list again, and shortest time between two such
/// reads. Calls to the store are priced.
pub const VIEW_REFRESH: Duration = Duration::from_secs(20);
/// Time from the first list that contains a gateway until it uses its shares: by then all lists without it have
/// expired, and what was sent by them has left the window.
pub const JOIN_DELAY: Duration = Duration::from_secs(54);
/// Lists of the gateways that may be in effect at the same time.
const VIEWS: f64 = 2.0;

const _: () = assert!(
    INTERVAL.as_millis()
        >= WINDOW.as_millis() + MAX_SEND_DELAY.as_millis() + MAX_TRANSIT.as_millis()
);
const _: () = assert!(JOIN_DELAY.as_millis() >= VIEW_VALIDITY.as_millis() + INTERVAL.as_millis());
// One read may fail.
const _: () = assert!(2 * VIEW_REFRESH.as_millis() < VIEW_VALIDITY.as_millis());

/// What is accepted at a cold endpoint in a window beyond its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartBounds {
    overage: f64,
    slack: f64,
}

impl SlowStartBounds {
    /// In a window, `overage` times the rate and `slack` requests more are accepted. `None` unless both are finite and
    /// at least 0.
    pub fn new(overage: f64, slack: f64) -> Option<Self> {
        let is_valid = |x: f64| x.is_finite() && x >= 0.0;
        (is_valid(overage) && is_valid(slack)).then_some(Self { overage, slack })
    }

    /// Requests that the gateways of one list may send in an [`INTERVAL`] to a cold endpoint that tolerates `per_second`
    /// requests a second. Those of two lists are within what is accepted.
    pub fn quota(self, per_second: f64) -> u32 {
        ((per_second * self.overage + self.slack) / VIEWS) as u32
    }
}
