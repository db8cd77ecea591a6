//! Settings of a service.

use serde::{Deserialize, Serialize};

use super::SlowStart;

/// Settings that operators give for a service. They apply to each of its endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Request path of health checks and probes.
    pub health_path: String,
    /// Largest number of connections to one endpoint from all gateways together.
    pub max_connections: u32,
    /// How endpoints are treated while they are cold; `None` if they need no slow start.
    pub slow_start: Option<SlowStart>,
}
