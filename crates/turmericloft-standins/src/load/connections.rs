//! A caller's kept-alive connections to one target.

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

/// A connection on which requests are sent one after another.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// A fixed number of connections, used in turn.
#[derive(Debug)]
pub(super) struct Connections {
    target: SocketAddr,
    idle: Mutex<VecDeque<Sender>>,
    permits: Semaphore,
}

impl Connections {
    /// Opens `count` connections. One that fails is tried again when it is needed.
    pub(super) async fn open(target: SocketAddr, count: usize) -> Self {
        let opened = join_all((0..count).map(|_| connect(target))).await;
        Self {
            target,
            idle: Mutex::new(opened.into_iter().filter_map(Result::ok).collect()),
            permits: Semaphore::new(count),
        }
    }

    /// Waits for the right to use a connection.
    pub(super) async fn permit(&self) -> io::Result<SemaphorePermit<'_>> {
        self.permits.acquire().await.map_err(io::Error::other)
    }

    /// Takes an idle connection, or opens one.
    pub(super) async fn take(&self) -> io::Result<Sender> {
        let idle = self.take_idle();
        match idle {
            Some(sender) => Ok(sender),
            None => connect(self.target).await,
        }
    }

    /// Puts a connection back after a whole answer.
    pub(super) fn put_back(&self, sender: Sender) {
        if !sender.is_closed() {
            self.idle.lock().push_back(sender);
        }
    }

    fn take_idle(&self) -> Option<Sender> {
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
