//! Connections of a backend server, each of which can be cut or go silent.

use std::{
    convert::Infallible,
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::routes::Shared;

/// All connections of a backend server.
#[derive(Debug, Default)]
pub(super) struct Connections {
    all: Mutex<CancellationToken>,
    next: AtomicU64,
    silent_before: AtomicU64,
}

/// One connection.
#[derive(Clone, Debug)]
pub(super) struct Connection {
    number: u64,
    cut: CancellationToken,
}

impl Connections {
    /// Closes all connections at once, as a crash does.
    pub(super) fn cut_all(&self) {
        let crashed = std::mem::take(&mut *self.all.lock());
        crashed.cancel();
    }

    /// Makes the connections open now silent for good.
    pub(super) fn silence_open(&self) {
        let next = self.next.load(Ordering::Acquire);
        self.silent_before.store(next, Ordering::Release);
    }

    /// Whether the connection has gone silent.
    pub(super) fn is_silenced(&self, connection: &Connection) -> bool {
        connection.number < self.silent_before.load(Ordering::Acquire)
    }

    fn open(&self) -> Connection {
        Connection {
            number: self.next.fetch_add(1, Ordering::AcqRel),
            cut: self.all.lock().child_token(),
        }
    }
}

impl Shared {
    /// Accepts connections for as long as it is polled; they are closed when it is dropped.
    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener) {
        let _close = CloseAll(&self.connections);
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let connection = self.connections.open();
                tokio::spawn(serve(Arc::clone(&self), connection, stream));
            }
        }
    }
}

struct CloseAll<'a>(&'a Connections);

impl Drop for CloseAll<'_> {
    fn drop(&mut self) {
        self.0.cut_all();
    }
}

async fn serve(shared: Arc<Shared>, connection: Connection, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let cut = connection.cut.clone();
    let service = service_fn(move |req| {
        let shared = Arc::clone(&shared);
        let connection = connection.clone();
        async move {
            match shared.handle(&connection, req).await {
                Some(answer) => Ok::<_, Infallible>(answer),
                None => {
                    connection.cut.cancel();
                    pending().await
                }
            }
        }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = serving => {}
        () = cut.cancelled() => {}
    }
}
