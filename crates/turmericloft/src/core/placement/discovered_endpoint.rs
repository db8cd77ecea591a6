//! An endpoint as its registry entry describes it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use strum::Display;

/// Identity of one endpoint. Another endpoint at the same address has a different one.
pub type InstanceId = Arc<str>;

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Finishes the requests that it has and accepts no new ones.
    Draining,
}

/// Registry entry of one endpoint. It is serialised in relay responses to other gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveredEndpoint {
    /// Identity, which is the key of the entry.
    pub id: InstanceId,
    /// Name of the service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: Arc<str>,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Remaining warm-up time, in which it is slower, as of when the entry was read.
    pub warmup_left: Duration,
    /// Unix time of its start in milliseconds. Another value is another incarnation.
    pub started_at_ms: u64,
}
