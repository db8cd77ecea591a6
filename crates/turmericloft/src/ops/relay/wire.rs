//! Framing and serialization of messages on a relay connection.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::RelayError;
use crate::core::quarantine::CrashReport;

/// Version of the message format. It has to change with every change of the format.
const MESSAGE_VERSION: u16 = 9;
/// Maximum length of a message: large enough for a document of tens of thousands of routes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Maximum length of a message of a follower: a poll, and the reports of crashes behind it.
const MAX_POLL_BYTES: usize = 256 << 10;

#[derive(Serialize, Deserialize)]
struct Versioned<T> {
    version: u16,
    message: T,
}

/// A message, and the crash reports that came with it.
///
/// Gateways that know no crash reports ignore the bytes behind a message and send none.
pub(super) struct Received<T> {
    pub(super) message: T,
    pub(super) reports: Vec<CrashReport>,
}

/// One end of a connection between a follower and its upstream.
pub(super) struct RelayConnection {
    peer: SocketAddr,
    framed: Framed<TcpStream, LengthDelimitedCodec>,
}

impl RelayConnection {
    /// The end of a follower.
    pub(super) fn to_upstream(peer: SocketAddr, stream: TcpStream) -> Self {
        Self::new(peer, stream, MAX_MESSAGE_BYTES)
    }

    /// The end of an upstream. Anyone may be at the other one.
    pub(super) fn to_follower(peer: SocketAddr, stream: TcpStream) -> Self {
        Self::new(peer, stream, MAX_POLL_BYTES)
    }

    fn new(peer: SocketAddr, stream: TcpStream, max_received_bytes: usize) -> Self {
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_MESSAGE_BYTES);
        let mut framed = Framed::new(stream, codec);
        framed.codec_mut().set_max_frame_length(max_received_bytes);
        Self { peer, framed }
    }

    pub(super) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a message, and crash reports behind it unless there are none.
    pub(super) async fn send<T: Serialize>(
        &mut self,
        message: T,
        reports: &[CrashReport],
    ) -> Result<(), RelayError> {
        let peer = self.peer;
        let malformed = |source| RelayError::Malformed { peer, source };
        let version = MESSAGE_VERSION;
        let mut bytes = postcard::to_stdvec(&Versioned { version, message }).map_err(malformed)?;
        if !reports.is_empty() {
            bytes = postcard::to_extend(reports, bytes).map_err(malformed)?;
        }
        let sent = self.framed.send(Bytes::from(bytes)).await;
        sent.map_err(|source| RelayError::Io { peer, source })
    }

    /// Receives a message and the crash reports behind it. Can be cancelled without a loss.
    pub(super) async fn receive<T: DeserializeOwned>(&mut self) -> Result<Received<T>, RelayError> {
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
        let (message, rest) = postcard::take_from_bytes(message).map_err(malformed)?;
        let reports = if rest.is_empty() {
            Vec::new()
        } else {
            postcard::from_bytes(rest).map_err(malformed)?
        };
        Ok(Received { message, reports })
    }
}
