//! One connection to an endpoint.

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

/// Time allowed to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time allowed for a connection to be ready after its last answer.
const READY_TIMEOUT: Duration = Duration::from_millis(2);

pub(super) type Sender = http1::SendRequest<RequestBody>;

/// An open connection that owes nothing.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: Sender,
    pub(super) progress: ConnectionProgress,
}

/// A connection in use. Dropped, it goes back to its pool.
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

    /// Waits until the connection can take a request; false if it can't.
    pub(super) async fn is_ready(&mut self) -> bool {
        if self.sender.is_ready() {
            return true;
        }
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }
}

impl ConnectionLease {
    /// Bytes of the answer's body arrived.
    pub fn bytes_moved(&mut self) {
        if let Some(connection) = &mut self.connection {
            connection.progress.record_bytes(now());
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(connection);
        }
    }
}

/// The present time; it can be paused in tests.
pub(super) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
