//! How a service's endpoints are treated while they are cold.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Slow start of the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStart {
    /// How long an endpoint is cold after its start.
    pub duration: Duration,
    /// Requests a second that a cold endpoint tolerates from all gateways together; finite and at least 0.
    pub per_second: f64,
}
