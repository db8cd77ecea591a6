//! A gateway that passes on what it reads.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Where a gateway can be followed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayMember {
    /// Name of its host.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where it answers followers.
    pub address: SocketAddr,
}
