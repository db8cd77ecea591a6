//! Framing and serialization of messages on a relay connection.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::RelayError;

/// Version of the message format. It has to change with every change of the format.
const MESSAGE_VERSION: u16 = 2;
/// Maximum length of a message: large enough for a document of tens of thousands of routes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

#[derive(Serialize, Deserialize)]
struct Versioned<T> {
    version: u16,
    message: T,
}

/// One end of a connection between a follower and its upstream.
pub(super) struct RelayConnection {
    peer: SocketAddr,
    framed: Framed<TcpStream, LengthDelimitedCodec>,
}

impl RelayConnection {
    pub(super) fn new(peer: SocketAddr, stream: TcpStream) -> Self {
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_MESSAGE_BYTES);
        let framed = Framed::new(stream, codec);
        Self { peer, framed }
    }

    pub(super) async fn send<T: Serialize>(&mut self, message: T) -> Result<(), RelayError> {
        let peer = self.peer;
        let version = MESSAGE_VERSION;
        let bytes = postcard::to_stdvec(&Versioned { version, message })
            .map_err(|source| RelayError::Malformed { peer, source })?;
        let sent = self.framed.send(Bytes::from(bytes)).await;
        sent.map_err(|source| RelayError::Io { peer, source })
    }

    pub(super) async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, RelayError> {
        let peer = self.peer;
        let frame = self
            .framed
            .next()
            .await
            .ok_or(RelayError::Closed { peer })?;
        let frame = frame.map_err(|source| RelayError::Io { peer, source })?;
        let malformed = |source| RelayError::Malformed { peer, source };
        let (theirs, message) = postcard::take_from_bytes::<u16>(&frame).map_err(malformed)?;
        if theirs != MESSAGE_VERSION {
            let ours = MESSAGE_VERSION;
            return Err(RelayError::Version { peer, theirs, ours });
        }
        postcard::from_bytes(message).map_err(malformed)
    }
}
