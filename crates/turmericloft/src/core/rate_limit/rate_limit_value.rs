//! A limit of requests a second.

use std::fmt;

/// Largest limit that is told from larger ones, in requests a second.
const MAX_PER_SECOND: f64 = 10_000.0;

/// Requests a second that an endpoint accepts from all gateways together: at least 0, and finite.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// `None` if `per_second` is negative or not finite. A limit above 10,000 counts as 10,000.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| Self(per_second.min(MAX_PER_SECOND)))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
