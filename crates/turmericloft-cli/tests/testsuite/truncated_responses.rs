//! Backend servers that close the connection within the body of a response.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::support::{Booking, Platform, try_get};

/// A response of which 95 bytes are missing.
const MISSING_BYTES: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nparty";
/// A response without its last chunk.
const MISSING_LAST_CHUNK: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nparty\r\n";

/// A backend server that sends part of a response to every request.
struct TruncatingBackend {
    address: SocketAddr,
    requests: Arc<AtomicU64>,
}

impl TruncatingBackend {
    async fn start(response: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let requests = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond_in_part(stream, response, Arc::clone(&counter)));
            }
        });
        Self { address, requests }
    }
}

async fn respond_in_part(mut stream: TcpStream, response: &str, requests: Arc<AtomicU64>) {
    let mut read = Vec::new();
    while !read.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    requests.fetch_add(1, Ordering::Relaxed);
    let _ = stream.write_all(response.as_bytes()).await;
    let _ = stream.shutdown().await;
    // Closing a socket with unread bytes would reset the connection and lose the response.
    let _ = stream.read_to_end(&mut read).await;
}

async fn start_promoted(response: &'static str) -> (Platform, TruncatingBackend) {
    let backend = TruncatingBackend::start(response).await;
    let mut platform = Platform::start();
    platform.backend = backend.address;
    platform.promote();
    (platform, backend)
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_to_a_lookup_is_aborted_for_the_caller() {
    for response in [MISSING_BYTES, MISSING_LAST_CHUNK] {
        let (platform, _backend) = start_promoted(response).await;
        let response = try_get(platform.caller_address, Platform::TOKEN, "/calendar/free").await;
        assert!(response.is_none(), "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_to_a_guarded_action_is_unknown_and_the_action_is_sent_once() {
    for response in [MISSING_BYTES, MISSING_LAST_CHUNK] {
        let (platform, backend) = start_promoted(response).await;
        let gateway = platform.caller_address;
        let booking = Booking::issued_by(gateway, "cut").await;
        for _ in 0..2 {
            let response = booking.send(gateway).await.expect("a response");
            assert_eq!(response.outcome(), "unknown", "{response:?}");
        }
        assert_eq!(backend.requests.load(Ordering::Relaxed), 1);
    }
}
