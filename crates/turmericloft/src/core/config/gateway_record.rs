//! The state that a gateway reports to the log.

use serde::{Deserialize, Serialize};
use strum::Display;

use crate::core::{HostId, Name};

/// Lifecycle state of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GatewayState {
    /// The gateway accepts requests.
    Running,
    /// The gateway shuts down: it completes its open requests.
    #[serde(rename = "leaving")]
    #[strum(serialize = "leaving")]
    Stopping,
}

/// Heartbeat of a gateway with its active version.
///
/// Appended when the active version or the state changes, and periodically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// Name and incarnation of the gateway.
    pub host: HostId,
    /// Availability zone of the gateway.
    pub zone: Name,
    /// Active version; zero if none is active.
    pub version: u64,
    /// When that version became active, by the gateway's clock, in milliseconds since the Unix
    /// epoch.
    pub in_force_at_ms: u64,
    /// Lifecycle state of the gateway.
    pub state: GatewayState,
    /// Number of other gateways that this gateway considers alive.
    pub peers_alive: u32,
}

impl GatewayRecord {
    /// Name of the log stream for the gateway records of an environment.
    pub fn stream(environment: &Name) -> String {
        format!("acks.{environment}")
    }
}
