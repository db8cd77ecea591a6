//! Settings of a service.

use serde::{Deserialize, Serialize};

/// Settings that operators give for a service. They apply to each of its endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Request path of health checks and probes.
    pub health_path: String,
    /// Largest number of connections to one endpoint from all gateways together.
    pub max_connections: u32,
}
