//! A connection to an endpoint, and the lease of a connection in use.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use super::{BodyError, ConnectionPool, RequestBody};
use crate::core::routing::ConnectionProgress;

/// Time allowed to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time allowed for an idle connection to become ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_millis(2);

pub(super) type Sender = http1::SendRequest<RequestBody>;

/// An open connection without an outstanding request.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: Sender,
    pub(super) progress: ConnectionProgress,
}

/// Whether a connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    /// Unless it is closed.
    IfOpen,
    Never,
}

/// A connection in use. Dropping the lease returns the connection to its pool.
#[derive(Debug)]
pub struct ConnectionLease {
    pub(super) pool: Arc<ConnectionPool>,
    pub(super) connection: Option<Connection>,
}

impl Connection {
    /// Connects to `peer`.
    pub(super) async fn open(peer: SocketAddr) -> Result<Self, BodyError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self {
            sender,
            progress: ConnectionProgress::new(now()),
        })
    }

    /// Waits until a request can be sent on the connection; false if the connection is closed or
    /// does not become ready in time.
    pub(super) async fn is_ready(&mut self) -> bool {
        if self.sender.is_ready() {
            return true;
        }
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }
}

impl ConnectionLease {
    /// Records that bytes of the response body arrived.
    pub fn record_bytes(&mut self) {
        if let Some(connection) = &mut self.connection {
            connection.progress.record_bytes(now());
        }
    }

    /// Closes the connection in place of returning it to its pool.
    pub fn close(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.release(connection, Reuse::Never);
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.release(connection, Reuse::IfOpen);
        }
    }
}

/// The current time of the Tokio clock, which tests can pause.
pub(super) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
