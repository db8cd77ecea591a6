//! Why a gateway is not followed any longer.

use std::{io, net::SocketAddr, time::Duration};

use thiserror::Error;

/// Why following a gateway ended.
#[derive(Debug, Error)]
pub enum RelayError {
    /// No connection.
    #[error("cannot connect to the gateway at {peer}")]
    Connect {
        /// The followed gateway.
        peer: SocketAddr,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// The connection broke, or a message is longer than allowed.
    #[error("the connection with the gateway at {peer} broke")]
    Io {
        /// The gateway at the other end.
        peer: SocketAddr,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// The other side closed the connection.
    #[error("the gateway at {peer} closed the connection")]
    Closed {
        /// The gateway at the other end.
        peer: SocketAddr,
    },
    /// A message cannot be read.
    #[error("a message of the gateway at {peer} cannot be read")]
    Malformed {
        /// The gateway at the other end.
        peer: SocketAddr,
        /// Cause.
        #[source]
        source: postcard::Error,
    },
    /// It speaks another version of the messages.
    #[error("the gateway at {peer} speaks version {theirs} of the messages, this one {ours}")]
    Version {
        /// The gateway at the other end.
        peer: SocketAddr,
        /// Its version.
        theirs: u16,
        /// Version of this process.
        ours: u16,
    },
    /// Nothing came in time.
    #[error("the gateway at {peer} was silent for {limit:?}")]
    Timeout {
        /// The gateway at the other end.
        peer: SocketAddr,
        /// Time that it had.
        limit: Duration,
    },
    /// It answers but knows nothing current.
    #[error("the gateway at {peer} knows nothing current")]
    Stale {
        /// The followed gateway.
        peer: SocketAddr,
    },
}
