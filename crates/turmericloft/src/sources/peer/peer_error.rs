//! Errors of messages to peers.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// Error of a request or datagram to a peer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The local endpoint cannot be opened.
    #[error("cannot listen for peers on {address}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error from the operating system, or of the certificates.
        #[source]
        source: io::Error,
    },
    /// The connection failed, so the peer did not receive the message.
    #[error("cannot connect to peer {peer}")]
    Connect {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the QUIC connection.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The exchange failed after the peer may have received the message.
    #[error("no complete reply from peer {peer}")]
    Exchange {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the QUIC connection.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

impl PeerError {
    /// Whether it is certain that the peer did not receive the message.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Exchange { .. })
    }
}
