//! An endpoint as discovery tells of it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use strum::Display;

/// Identity of one endpoint; another endpoint at the same address has another one.
pub type InstanceId = Arc<str>;

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// What discovery says of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveredEndpoint {
    /// Its identity.
    pub id: InstanceId,
    /// Name of its service.
    pub service: Arc<str>,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Time for which it stays slow after its start, from when this was told.
    pub warmup_left: Duration,
    /// Unix time of its start in milliseconds: a later one is another incarnation.
    pub started_at_ms: u64,
}
