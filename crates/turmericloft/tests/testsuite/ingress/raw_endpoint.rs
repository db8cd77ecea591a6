//! An endpoint whose responses the test writes byte by byte.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use turmericloft::sources::http1::{ReaderLimits, RequestReader};

const LIMITS: ReaderLimits = ReaderLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
};

/// Response to a health check.
const HEALTHY: &str = "HTTP/1.1 200 OK\r\nIdle: 1\r\nContent-Length: 0\r\n\r\n";

/// What happens to the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    Keep,
    Close,
    Reset,
}

/// What the endpoint does with one request.
#[derive(Clone, Debug)]
pub struct Step {
    /// Whether it runs the request.
    pub runs: bool,
    /// What it writes.
    pub bytes: String,
    pub then: Then,
}

impl Step {
    pub fn refuse(bytes: String) -> Self {
        Self {
            runs: false,
            bytes,
            then: Then::Keep,
        }
    }

    pub fn run(bytes: String) -> Self {
        Self {
            runs: true,
            bytes,
            then: Then::Keep,
        }
    }
}

/// Chooses the step for the request with this id, which is the n-th one on its connection, from 0 on. Health
/// checks do not count.
type Choose = dyn Fn(usize, &str) -> Step + Send + Sync;

/// An endpoint that listens on loopback.
pub struct RawEndpoint {
    pub address: SocketAddr,
    ran: Arc<Mutex<Vec<String>>>,
}

impl RawEndpoint {
    pub async fn start(choose: impl Fn(usize, &str) -> Step + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self::start_on(listener, choose)
    }

    /// Starts an endpoint that writes `health` in response to health checks.
    pub async fn start_with_health(
        health: &'static str,
        choose: impl Fn(usize, &str) -> Step + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self::start_server(listener, health, choose)
    }

    pub fn start_on(
        listener: TcpListener,
        choose: impl Fn(usize, &str) -> Step + Send + Sync + 'static,
    ) -> Self {
        Self::start_server(listener, HEALTHY, choose)
    }

    fn start_server(
        listener: TcpListener,
        health: &'static str,
        choose: impl Fn(usize, &str) -> Step + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("an address");
        let ran = Arc::<Mutex<Vec<String>>>::default();
        let endpoint = Self {
            address,
            ran: Arc::clone(&ran),
        };
        let choose: Arc<Choose> = Arc::new(choose);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, health, Arc::clone(&choose), Arc::clone(&ran)));
            }
        });
        endpoint
    }

    /// Number of times that it has run the request with this id.
    pub fn runs(&self, id: &str) -> usize {
        let ran = self.ran.lock().expect("not poisoned");
        ran.iter().filter(|run| *run == id).count()
    }
}

async fn serve(
    mut stream: TcpStream,
    health: &'static str,
    choose: Arc<Choose>,
    ran: Arc<Mutex<Vec<String>>>,
) {
    let mut reader = RequestReader::new();
    let mut number = 0;
    loop {
        let next = reader.next(&LIMITS);
        let Some(req) = next.expect("the gateway writes well-formed requests") else {
            match stream.read_buf(reader.buffer()).await {
                Ok(n) if n > 0 => continue,
                _ => return,
            }
        };
        let (bytes, then) = match req.target() {
            "/health" => (health.to_owned(), Then::Keep),
            _ => {
                let id = req.headers.get_str("Id").unwrap_or_default();
                let step = choose(number, id);
                number += 1;
                if step.runs {
                    ran.lock().expect("not poisoned").push(id.to_owned());
                }
                (step.bytes, step.then)
            }
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        match then {
            Then::Keep => {}
            Then::Close => return,
            Then::Reset => {
                // Bytes that were written still arrive; the connection ends with a reset.
                let socket = SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).expect("a socket");
                return;
            }
        }
    }
}

/// The regular response to a request.
pub fn full_response(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 5\r\n\r\nhello")
}
