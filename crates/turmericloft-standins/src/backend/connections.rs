//! Connections of a backend server, each of which can be closed or made unresponsive.

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
    /// Parent of the tokens of all open connections.
    close_all: Mutex<CancellationToken>,
    next_number: AtomicU64,
    /// Connections with lower numbers are unresponsive.
    silent_before: AtomicU64,
}

#[derive(Clone, Debug)]
pub(super) struct Connection {
    number: u64,
    close: CancellationToken,
}

impl Connections {
    /// Closes all open connections at once, as a crash does.
    pub(super) fn close_all(&self) {
        let closed = std::mem::take(&mut *self.close_all.lock());
        closed.cancel();
    }

    /// Makes the connections that are open now unresponsive until they are closed.
    pub(super) fn silence_open(&self) {
        let next = self.next_number.load(Ordering::Acquire);
        self.silent_before.store(next, Ordering::Release);
    }

    /// Whether requests on the connection are neither run nor answered.
    pub(super) fn is_silent(&self, connection: &Connection) -> bool {
        connection.number < self.silent_before.load(Ordering::Acquire)
    }

    fn open(&self) -> Connection {
        Connection {
            number: self.next_number.fetch_add(1, Ordering::AcqRel),
            close: self.close_all.lock().child_token(),
        }
    }
}

impl Shared {
    /// Accepts connections until the future is dropped, which closes all of them.
    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener) {
        let _guard = CloseOnDrop(&self.connections);
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let connection = self.connections.open();
                tokio::spawn(serve(Arc::clone(&self), connection, stream));
            }
        }
    }
}

struct CloseOnDrop<'a>(&'a Connections);

impl Drop for CloseOnDrop<'_> {
    fn drop(&mut self) {
        self.0.close_all();
    }
}

async fn serve(shared: Arc<Shared>, connection: Connection, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let close = connection.close.clone();
    let service = service_fn(move |req| {
        let shared = Arc::clone(&shared);
        let connection = connection.clone();
        async move {
            match shared.handle(&connection, req).await {
                Some(response) => Ok::<_, Infallible>(response),
                None => {
                    connection.close.cancel();
                    pending().await
                }
            }
        }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    let server = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = server => {}
        () = close.cancelled() => {}
    }
}
