//! What a gateway writes to the log about itself.

use serde::{Deserialize, Serialize};
use strum::Display;

use crate::core::{HostId, Name};

/// Where a gateway is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GatewayState {
    /// It serves.
    Running,
    /// It finishes what it holds.
    #[serde(rename = "leaving")]
    #[strum(serialize = "leaving")]
    Stopping,
}

/// Sign of life of a gateway with the version it has in force: written at each change of either,
/// and from time to time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// The gateway.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Name,
    /// Version in force; zero if none is.
    pub version: u64,
    /// When that version was put in force, by the gateway's clock, in milliseconds since the Unix
    /// epoch.
    pub in_force_at_ms: u64,
    /// Where it is in its life.
    pub state: GatewayState,
    /// Gateways it hears.
    pub peers_alive: u32,
}

impl GatewayRecord {
    /// Stream of the gateways of an environment.
    pub fn stream(environment: &Name) -> String {
        format!("acks.{environment}")
    }
}
