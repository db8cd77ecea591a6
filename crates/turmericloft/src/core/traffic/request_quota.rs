//! How many requests an organisation may send.

use serde::{Deserialize, Serialize};

/// Requests that an organisation may send through all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestQuota {
    /// Requests a second in the long run; greater than 0 and finite.
    pub per_second: f64,
    /// Requests beyond that in a short time; at least 0 and finite.
    pub burst: f64,
}

impl RequestQuota {
    /// `None` if `per_second` is not a finite number greater than 0, which sets no limit. A `burst` that is not a
    /// finite number counts as 0.
    pub fn new(per_second: f64, burst: f64) -> Option<Self> {
        let is_limit = per_second.is_finite() && per_second > 0.0;
        let burst = if burst.is_finite() {
            burst.max(0.0)
        } else {
            0.0
        };
        is_limit.then_some(Self { per_second, burst })
    }
}
