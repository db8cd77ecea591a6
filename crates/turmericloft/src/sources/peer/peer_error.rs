//! Errors of calls to peers.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// Why a peer gave no reply.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The local endpoint could not be opened.
    #[error("cannot listen for peers on {address}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// No connection was made, so the peer saw nothing of the message.
    #[error("cannot connect to peer {peer}")]
    Connect {
        /// Address called.
        peer: SocketAddr,
        /// Cause.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The connection broke after the peer may have read the message.
    #[error("no whole reply from peer {peer}")]
    Exchange {
        /// Address called.
        peer: SocketAddr,
        /// Cause.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

impl PeerError {
    /// Whether the peer certainly saw nothing of the message.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Exchange { .. })
    }
}
