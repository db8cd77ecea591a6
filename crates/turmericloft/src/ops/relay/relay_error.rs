//! Errors of a relay connection.

use std::{io, net::SocketAddr, time::Duration};

use thiserror::Error;

/// Why a relay connection ended, on the side of the follower or of the upstream.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The TCP connection to the upstream could not be opened.
    #[error("failed to connect to the gateway at {peer}")]
    Connect {
        /// Address of the upstream.
        peer: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// Reading or writing failed, or a message exceeds the maximum length.
    #[error("I/O error on the connection to the gateway at {peer}")]
    Io {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the operating system or the frame codec.
        #[source]
        source: io::Error,
    },
    /// The peer closed the connection.
    #[error("the gateway at {peer} closed the connection")]
    Closed {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// A message could not be serialized or deserialized.
    #[error("invalid message on the connection to the gateway at {peer}")]
    Malformed {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the serializer.
        #[source]
        source: postcard::Error,
    },
    /// The peer uses another version of the message format.
    #[error("the gateway at {peer} uses message version {theirs}, this one uses version {ours}")]
    Version {
        /// Address of the peer.
        peer: SocketAddr,
        /// Message version of the peer.
        theirs: u16,
        /// Message version of this process.
        ours: u16,
    },
    /// The peer did not accept the connection, or did not read or send a message, in time.
    #[error("the gateway at {peer} timed out after {limit:?}")]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
        /// The timeout that expired.
        limit: Duration,
    },
    /// The upstream sent a response that no poll waits for.
    #[error("the gateway at {peer} sent a response without a poll")]
    Unasked {
        /// Address of the upstream.
        peer: SocketAddr,
    },
    /// The upstream responds, but its data is stale.
    #[error("the gateway at {peer} has only stale data")]
    Stale {
        /// Address of the upstream.
        peer: SocketAddr,
    },
}
