//! Requests on pooled connections to a backend server while one connection makes no progress.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::{JoinHandle, yield_now},
    time::{advance, pause},
};
use turmericloft::sources::backend::{ConnectionPool, RequestBody, SendContext, SendError};

const MEAN_LATENCY: Duration = Duration::from_millis(1);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// A server that responds to `/held` when a permit is added, and to all other requests at once.
struct Server {
    address: SocketAddr,
    release: Arc<Semaphore>,
    held: Arc<Semaphore>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let release = Arc::new(Semaphore::new(0));
        let held = Arc::new(Semaphore::new(0));
        let server = Self {
            address,
            release: Arc::clone(&release),
            held: Arc::clone(&held),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond(stream, Arc::clone(&release), Arc::clone(&held)));
            }
        });
        server
    }
}

async fn respond(mut stream: TcpStream, release: Arc<Semaphore>, held: Arc<Semaphore>) {
    let mut buf = [0; 4 << 10];
    while let Ok(n) = stream.read(&mut buf).await
        && n > 0
    {
        if buf[..n].starts_with(b"GET /held") {
            held.add_permits(1);
            release.acquire().await.expect("open").forget();
        }
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}

fn send(
    pool: &Arc<ConnectionPool>,
    path: &'static str,
    is_idempotent: bool,
) -> JoinHandle<Result<(), SendError>> {
    let pool = Arc::clone(pool);
    tokio::spawn(async move {
        let body = Empty::<Bytes>::new().map_err(|never| match never {});
        let req = Request::get(path).header("host", "h");
        let req = req.body(RequestBody::new(body)).expect("a request");
        let context = SendContext {
            needs_new_connection: false,
            is_idempotent,
            mean_latency: MEAN_LATENCY,
            sent: &AtomicU32::new(0),
        };
        pool.send(req, context).await.map(drop)
    })
}

/// Holds one request while another one on a second connection completes, and lets a time pass in
/// which the connection of the first one counts as stalled. Returns the first request's result.
async fn outlast_a_stall(is_idempotent: bool) -> Result<(), SendError> {
    let server = Server::start().await;
    let pool = ConnectionPool::new(server.address);
    let held = [send(&pool, "/held", true), send(&pool, "/held", true)];
    server.held.acquire_many(2).await.expect("open").forget();
    server.release.add_permits(2);
    for request in held {
        request.await.expect("no panic").expect("a response");
    }
    pause();
    let first = send(&pool, "/held", is_idempotent);
    server.held.acquire().await.expect("open").forget();
    advance(Duration::from_millis(1)).await;
    let second = send(&pool, "/", false).await.expect("no panic");
    second.expect("a response");
    for _ in 0..20 {
        advance(Duration::from_millis(50)).await;
        yield_now().await;
    }
    server.release.add_permits(1);
    first.await.expect("no panic")
}

#[tokio::test]
async fn request_that_must_not_run_twice_outlasts_a_stall_and_gets_its_response() {
    outlast_a_stall(false).await.expect("a response");
}

#[tokio::test]
async fn idempotent_request_is_given_up_on_a_stalled_connection() {
    let error = outlast_a_stall(true).await.expect_err("given up");
    assert!(!error.is_unsent());
}

/// Guards against the response of a backend server in trouble that a caller takes for one.
#[tokio::test]
async fn response_with_a_status_that_is_none_is_an_error_and_ends_its_connection() {
    for status in ["000", "099", "101", "600", "999"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let message = format!("HTTP/1.1 {status} Text\r\ncontent-length: 0\r\n\r\n");
        let serving = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut buf = [0; 4 << 10];
            let _ = stream.read(&mut buf).await.expect("a request");
            let written = stream.write_all(message.as_bytes()).await;
            written.expect("an open connection");
            // The pool closes the connection.
            while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {}
        });
        let pool = ConnectionPool::new(address);
        let result = send(&pool, "/", true).await.expect("no panic");
        let error = result.expect_err(status);
        assert!(!error.is_unsent(), "{status}");
        serving.await.expect("no panic");
    }
}
