//! Address of a gateway that serves followers.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// A gateway that other gateways of its zone can follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayMember {
    /// Name of the gateway's host; unique among gateways.
    pub host: Arc<str>,
    /// Availability zone of the host. Gateways follow only members of their own zone.
    pub zone: Arc<str>,
    /// Address on which the gateway accepts connections of followers.
    pub address: SocketAddr,
    /// UDP port on which the gateway answers questions about limits and quotas; `None` if its entry does not
    /// give it.
    pub datagram_port: Option<u16>,
    /// What the host's link carries, in Mbit/s; 0 if its entry does not give it. Hosts with faster links come first
    /// in the order of the zone.
    pub link_mbps: u32,
}
