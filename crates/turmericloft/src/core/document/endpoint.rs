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
    /// Availability zone the backend server is in.
    pub zone: Name,
    /// Requests it works on at the same time.
    pub slots: u32,
    /// Connections it accepts from all gateways together.
    pub connections: u32,
}
