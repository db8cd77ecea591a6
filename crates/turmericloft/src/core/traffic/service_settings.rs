//! What operators say about one service.

use serde::{Deserialize, Serialize};

/// Settings of a service, which hold for each of its endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Path that answers health checks.
    pub health_path: String,
    /// Connections that one endpoint accepts from all gateways together.
    pub max_connections: u32,
}
