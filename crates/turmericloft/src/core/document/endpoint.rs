//! Endpoints: where a service runs on a backend server.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// One backend server's address for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// IP address and port.
    pub address: SocketAddr,
    /// Availability zone of the backend server.
    pub zone: Name,
    /// Number of requests that the backend server processes concurrently.
    pub slots: u32,
    /// Maximum number of connections from all gateways together.
    pub connections: u32,
}
