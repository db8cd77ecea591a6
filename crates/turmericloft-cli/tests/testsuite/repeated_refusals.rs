//! Backend servers that write an earlier refusal once more on a kept connection.

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
use turmericloft::sources::http1::{ReaderLimits, RequestReader};

use crate::support::{Booking, Platform};

const SHED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nshed: not-started\r\ncontent-length: 0\r\n\r\n";

/// Starts a backend server that refuses the first request on each connection. It runs the following ones, which it
/// counts, and writes the refusal again.
async fn start_backend() -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let runs = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&runs);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(refuse(stream, Arc::clone(&counter)));
        }
    });
    (address, runs)
}

async fn refuse(mut stream: TcpStream, runs: Arc<AtomicU64>) {
    let limits = ReaderLimits {
        head_bytes: 16 << 10,
        body_bytes: 1 << 20,
    };
    let mut reader = RequestReader::new();
    let mut is_first = true;
    loop {
        match reader.next(&limits).expect("well-formed") {
            Some(_) => {
                runs.fetch_add(u64::from(!is_first), Ordering::AcqRel);
                is_first = false;
                if stream.write_all(SHED.as_bytes()).await.is_err() {
                    return;
                }
            }
            None => match stream.read_buf(reader.buffer()).await {
                Ok(n) if n > 0 => {}
                _ => return,
            },
        }
    }
}

/// Guards against an action that runs while its caller is told that it has not, as the backend server has written the
/// refusal of an earlier one again.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusal_is_not_taken_for_one_of_the_present_action() {
    let (address, runs) = start_backend().await;
    let mut platform = Platform::start();
    platform.backend = address;
    platform.promote();
    let gateway = platform.caller_address;
    for name in ["a", "b", "c", "d"] {
        let before = runs.load(Ordering::Acquire);
        let booking = Booking::issued_by(gateway, name).await;
        let response = booking.send(gateway).await.expect("a response");
        let has_run = runs.load(Ordering::Acquire) > before;
        let is_promised = response.outcome() == "not-run";
        assert!(!(is_promised && has_run), "{name}: {response:?}");
    }
}
