//! Pool of persistent connections to one target.

use std::{collections::VecDeque, io, net::SocketAddr};

use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    sync::{Semaphore, SemaphorePermit},
};

/// Sender of a connection, which sends one request at a time.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Pool of connections with a fixed limit, used in rotation.
#[derive(Debug)]
pub(super) struct Connections {
    target: SocketAddr,
    idle: Mutex<VecDeque<Sender>>,
    permits: Semaphore,
}

impl Connections {
    /// Opens `count` connections. A connection that cannot be opened is retried when it is needed.
    pub(super) async fn open(target: SocketAddr, count: usize) -> Self {
        let opened = join_all((0..count).map(|_| connect(target))).await;
        Self {
            target,
            idle: Mutex::new(opened.into_iter().filter_map(Result::ok).collect()),
            permits: Semaphore::new(count),
        }
    }

    /// Waits until fewer than the limit of connections are in use.
    pub(super) async fn acquire_permit(&self) -> io::Result<SemaphorePermit<'_>> {
        self.permits.acquire().await.map_err(io::Error::other)
    }

    /// Returns an idle connection, or opens one.
    pub(super) async fn acquire(&self) -> io::Result<Sender> {
        let idle = self.pop_idle();
        match idle {
            Some(sender) => Ok(sender),
            None => connect(self.target).await,
        }
    }

    /// Returns a connection to the pool after a complete response.
    pub(super) fn release(&self, sender: Sender) {
        if !sender.is_closed() {
            self.idle.lock().push_back(sender);
        }
    }

    fn pop_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock();
        std::iter::from_fn(|| idle.pop_front()).find(|sender| !sender.is_closed())
    }
}

async fn connect(target: SocketAddr) -> io::Result<Sender> {
    let stream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}
