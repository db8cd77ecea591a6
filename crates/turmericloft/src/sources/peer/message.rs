//! Messages between gateways.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::HostId;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The gateway that sent it.
    pub from: HostId,
    /// The message.
    pub message: T,
}

/// A request to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Tells that the sender is alive.
    Heartbeat(Heartbeat),
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The receiver's own state.
    Heartbeat(Heartbeat),
    /// The receiver does not answer such requests.
    Unsupported,
}

/// An unreliable message; it may be lost, doubled or overtaken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// Tells that the sender is alive.
    Heartbeat(Heartbeat),
}

/// State of a gateway as it tells its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the document in force; zero if none is.
    pub version: u64,
    /// Whether the gateway is about to leave.
    pub leaving: bool,
    /// Where the gateway listens for peers.
    pub address: SocketAddr,
}
