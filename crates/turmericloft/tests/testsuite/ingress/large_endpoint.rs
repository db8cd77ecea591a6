//! An endpoint whose responses do not fit into the buffers of the kernel.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use turmericloft::sources::http1::{ReaderLimits, RequestReader};

/// Body that does not fit into the buffers of the kernel, in bytes.
pub(super) const LARGE_BODY: usize = 12 << 20;
const LIMITS: ReaderLimits = ReaderLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
};

/// An endpoint that responds with a large body once it is released.
pub(super) struct LargeEndpoint {
    pub(super) address: SocketAddr,
    pub(super) arrived: Arc<Semaphore>,
    pub(super) release: Arc<Semaphore>,
}

impl LargeEndpoint {
    pub(super) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let endpoint = Self {
            address: listener.local_addr().expect("an address"),
            arrived: Arc::new(Semaphore::new(0)),
            release: Arc::new(Semaphore::new(0)),
        };
        let (arrived, release) = (Arc::clone(&endpoint.arrived), Arc::clone(&endpoint.release));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond(stream, Arc::clone(&arrived), Arc::clone(&release)));
            }
        });
        endpoint
    }
}

async fn respond(mut stream: TcpStream, arrived: Arc<Semaphore>, release: Arc<Semaphore>) {
    let mut reader = RequestReader::new();
    while stream.read_buf(reader.buffer()).await.is_ok_and(|n| n > 0) {
        let Some(req) = reader.next(&LIMITS).expect("well-formed") else {
            continue;
        };
        let message = if req.target() == "/health" {
            "HTTP/1.1 200 OK\r\nIdle: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else {
            let id = req.headers.get_str("Id").unwrap_or_default().to_owned();
            arrived.add_permits(1);
            release.acquire().await.expect("open").forget();
            let body = "x".repeat(LARGE_BODY);
            format!(
                "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: {LARGE_BODY}\r\n\r\n{body}"
            )
        };
        if stream.write_all(message.as_bytes()).await.is_err() {
            return;
        }
    }
}
