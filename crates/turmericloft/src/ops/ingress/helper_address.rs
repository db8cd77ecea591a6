//! Where other gateways take requests that are handed over.

use std::net::SocketAddr;

use crate::core::relay::RelayMember;

/// Address at which `helper` takes requests of others: all gateways use the same port for it.
pub(super) fn helper_address(helper: &RelayMember, own_port: u16) -> SocketAddr {
    SocketAddr::new(helper.address.ip(), own_port)
}
