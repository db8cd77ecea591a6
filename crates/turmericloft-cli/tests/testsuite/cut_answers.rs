//! Backend servers whose connection ends within the body of an answer.

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

/// An answer of which 95 bytes are missing.
const SHORT_OF_ITS_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nparty";
/// An answer without its last chunk.
const WITHOUT_LAST_CHUNK: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nparty\r\n";

/// A backend server that gives part of an answer to every request.
struct CuttingBackend {
    address: SocketAddr,
    requests: Arc<AtomicU64>,
}

impl CuttingBackend {
    async fn start(answer: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let requests = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_in_part(stream, answer, Arc::clone(&counted)));
            }
        });
        Self { address, requests }
    }
}

async fn answer_in_part(mut stream: TcpStream, answer: &str, requests: Arc<AtomicU64>) {
    let mut read = Vec::new();
    while !read.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    requests.fetch_add(1, Ordering::Relaxed);
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.shutdown().await;
    // Bytes left unread would reset the connection, and the answer with it.
    let _ = stream.read_to_end(&mut read).await;
}

async fn start_promoted(answer: &'static str) -> (Platform, CuttingBackend) {
    let backend = CuttingBackend::start(answer).await;
    let mut platform = Platform::start();
    platform.backend = backend.address;
    platform.promote();
    (platform, backend)
}

#[tokio::test(flavor = "multi_thread")]
async fn lookup_with_part_of_an_answer_is_broken_off_for_its_caller() {
    for answer in [SHORT_OF_ITS_LENGTH, WITHOUT_LAST_CHUNK] {
        let (platform, _backend) = start_promoted(answer).await;
        let answer = try_get(platform.caller_address, Platform::TOKEN, "/calendar/free").await;
        assert!(answer.is_none(), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn guarded_action_with_part_of_an_answer_is_unknown_and_sent_once() {
    for answer in [SHORT_OF_ITS_LENGTH, WITHOUT_LAST_CHUNK] {
        let (platform, backend) = start_promoted(answer).await;
        let gateway = platform.caller_address;
        let booking = Booking::issued_by(gateway, "cut").await;
        for _ in 0..2 {
            let answer = booking.send(gateway).await.expect("an answer");
            assert_eq!(answer.outcome(), "unknown", "{answer:?}");
        }
        assert_eq!(backend.requests.load(Ordering::Relaxed), 1);
    }
}
