//! An endpoint with a chosen fault.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use turmericloft::sources::http1::{ReaderLimits, Request, RequestReader};

pub use super::behaviour::Behaviour;
use super::behaviour::{endless_response, response};

const LIMITS: ReaderLimits = ReaderLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
};

/// What endpoints that share it do with one request after the other.
#[derive(Clone, Debug)]
pub struct Script {
    steps: Arc<Mutex<VecDeque<Behaviour>>>,
    afterwards: Behaviour,
}

impl Script {
    /// Requests are handled in the order of `steps`, and further ones like `afterwards`.
    pub fn new(steps: &[Behaviour], afterwards: Behaviour) -> Self {
        Self {
            steps: Arc::new(Mutex::new(steps.iter().copied().collect())),
            afterwards,
        }
    }

    fn next(&self) -> Behaviour {
        let step = self.steps.lock().expect("not poisoned").pop_front();
        step.unwrap_or(self.afterwards)
    }
}

/// A request that an endpoint ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
}

/// An endpoint that listens on loopback.
pub struct Endpoint {
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Number of connections that were opened.
    connections: Arc<AtomicUsize>,
    health_checks: Arc<AtomicUsize>,
    /// Id that it states in responses to health checks; empty if it states none.
    instance: Arc<Mutex<String>>,
    /// How it responds to health checks, if without end.
    health: Arc<Mutex<Option<Behaviour>>>,
    /// Bytes that it has written in responses without end.
    endless_bytes: Arc<AtomicUsize>,
    /// Has one permit per held request that has arrived.
    pub arrived: Arc<Semaphore>,
    /// Releases one held request per permit.
    pub release: Arc<Semaphore>,
    /// Has one permit per held request whose connection was closed.
    pub disconnected: Arc<Semaphore>,
    /// Cancelled when its process ends.
    ended: CancellationToken,
}

impl Endpoint {
    pub async fn start(behaviour: Behaviour) -> Self {
        Self::start_with_script(&Script::new(&[], behaviour)).await
    }

    pub async fn start_with_script(script: &Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self::start_on(listener, script)
    }

    pub fn start_on(listener: TcpListener, script: &Script) -> Self {
        let address = listener.local_addr().expect("an address");
        let endpoint = Self {
            address,
            runs: Arc::default(),
            connections: Arc::default(),
            health_checks: Arc::default(),
            instance: Arc::default(),
            health: Arc::default(),
            endless_bytes: Arc::default(),
            arrived: Arc::new(Semaphore::new(0)),
            release: Arc::new(Semaphore::new(0)),
            disconnected: Arc::new(Semaphore::new(0)),
            ended: CancellationToken::new(),
        };
        let server = EndpointServer {
            script: script.clone(),
            runs: Arc::clone(&endpoint.runs),
            health_checks: Arc::clone(&endpoint.health_checks),
            instance: Arc::clone(&endpoint.instance),
            health: Arc::clone(&endpoint.health),
            endless_bytes: Arc::clone(&endpoint.endless_bytes),
            arrived: Arc::clone(&endpoint.arrived),
            release: Arc::clone(&endpoint.release),
            disconnected: Arc::clone(&endpoint.disconnected),
        };
        let connections = Arc::clone(&endpoint.connections);
        let ended = endpoint.ended.clone();
        let accept = ended.clone().run_until_cancelled_owned(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::AcqRel);
                let serve = server.clone().serve(stream);
                tokio::spawn(ended.clone().run_until_cancelled_owned(serve));
            }
        });
        tokio::spawn(accept);
        endpoint
    }

    /// Ends its process: all connections end, and new ones are refused.
    pub fn crash(&self) {
        self.ended.cancel();
    }

    /// Has it state this id in responses to health checks.
    pub fn set_instance(&self, id: &str) {
        *self.instance.lock().expect("not poisoned") = id.to_owned();
    }

    /// Has it respond to health checks without end.
    pub fn set_endless_health(&self, behaviour: Behaviour) {
        *self.health.lock().expect("not poisoned") = Some(behaviour);
    }

    /// Number of bytes that it has written in responses without end.
    pub fn endless_bytes(&self) -> usize {
        self.endless_bytes.load(Ordering::Acquire)
    }

    /// Number of health checks that it has answered.
    pub fn health_checks(&self) -> usize {
        self.health_checks.load(Ordering::Acquire)
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    pub fn ran(&self) -> Vec<Run> {
        self.runs.lock().expect("not poisoned").clone()
    }
}

#[derive(Clone)]
struct EndpointServer {
    script: Script,
    runs: Arc<Mutex<Vec<Run>>>,
    health_checks: Arc<AtomicUsize>,
    instance: Arc<Mutex<String>>,
    health: Arc<Mutex<Option<Behaviour>>>,
    endless_bytes: Arc<AtomicUsize>,
    arrived: Arc<Semaphore>,
    release: Arc<Semaphore>,
    disconnected: Arc<Semaphore>,
}

impl EndpointServer {
    async fn serve(self, mut stream: TcpStream) {
        let mut reader = RequestReader::new();
        loop {
            match reader
                .next(&LIMITS)
                .expect("the gateway writes well-formed requests")
            {
                Some(req) => {
                    if !self.respond(&mut stream, &req).await {
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

    /// Returns whether the connection stays open.
    async fn respond(&self, stream: &mut TcpStream, req: &Request) -> bool {
        if req.target() == "/health" {
            self.health_checks.fetch_add(1, Ordering::AcqRel);
            let health = *self.health.lock().expect("not poisoned");
            if let Some((head, part)) = health.and_then(|b| endless_response(b, "")) {
                return self.send_endlessly(stream, &head, &part).await;
            }
            let instance = match &*self.instance.lock().expect("not poisoned") {
                id if id.is_empty() => String::new(),
                id => format!("Instance-Id: {id}\r\n"),
            };
            let healthy = "HTTP/1.1 200 OK\r\nIdle: 1\r\nContent-Length: 0\r\n";
            return send(stream, &format!("{healthy}{instance}\r\n")).await;
        }
        let id = req.headers.get_str("Id").unwrap_or_default().to_owned();
        let full = response(&id, "hello");
        let behaviour = self.script.next();
        match behaviour {
            Behaviour::Shed => {
                let shed = format!(
                    "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                );
                return send(stream, &shed).await;
            }
            Behaviour::ShedForAMinute => {
                let shed = format!(
                    "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nWait-S: 60\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                return send(stream, &shed).await;
            }
            Behaviour::OtherInstance => {
                let other = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
                return send(stream, other).await;
            }
            Behaviour::Close => return false,
            Behaviour::Hold | Behaviour::HoldAndClose => {
                self.arrived.add_permits(1);
                let mut byte = [0];
                tokio::select! {
                    permit = self.release.acquire() => permit.expect("open").forget(),
                    _ = stream.read(&mut byte) => {
                        self.disconnected.add_permits(1);
                        return false;
                    }
                }
            }
            _ => {}
        }
        self.run(req, &id);
        if let Some((head, part)) = endless_response(behaviour, &id) {
            return self.send_endlessly(stream, &head, &part).await;
        }
        match behaviour {
            Behaviour::Fail => {
                let text = "HTTP/1.1 500 Failed\r\nSeal: s\r\nContent-Length: 0\r\n";
                send(stream, &format!("{text}Id: {id}\r\n\r\n")).await
            }
            Behaviour::RunAndClose | Behaviour::HoldAndClose => false,
            Behaviour::Truncate => {
                send(stream, &full[..full.len() - 2]).await;
                false
            }
            Behaviour::Unframed => {
                let text = format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n\r\nhello");
                send(stream, &text).await;
                false
            }
            Behaviour::Leave => send(stream, &full.replace("Seal", "Leaving: 1\r\nSeal")).await,
            Behaviour::Unsigned => send(stream, &full.replace("Seal: s\r\n", "")).await,
            Behaviour::Encoded => {
                send(
                    stream,
                    &full.replace("Seal", "Content-Encoding: gzip\r\nSeal"),
                )
                .await
            }
            Behaviour::Garbage => {
                send(stream, "not a response\r\n\r\n").await;
                false
            }
            Behaviour::StaleFirst => send(stream, &(response("another", "stale") + &full)).await,
            Behaviour::StaleOnly => {
                send(stream, &response("another", "stale")).await;
                false
            }
            Behaviour::Twice => send(stream, &(full.clone() + &full)).await,
            _ => {
                sleep(run_time(req.target())).await;
                send(stream, &full).await
            }
        }
    }

    /// Sends `head` and then `part` again and again until the gateway closes the connection.
    async fn send_endlessly(&self, stream: &mut TcpStream, head: &str, part: &str) -> bool {
        const PARTS_PER_WRITE: usize = 256;
        let parts = part.repeat(PARTS_PER_WRITE);
        let mut is_open = send(stream, head).await;
        while is_open {
            is_open = send(stream, &parts).await;
            self.endless_bytes.fetch_add(parts.len(), Ordering::AcqRel);
        }
        false
    }

    fn run(&self, req: &Request, id: &str) {
        let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
        let headers = req.headers.iter();
        let run = Run {
            id: id.to_owned(),
            target: req.target().to_owned(),
            body: req.body.to_bytes().to_vec(),
            headers: headers.map(|h| (text(&h.name), text(&h.value))).collect(),
        };
        self.runs.lock().expect("not poisoned").push(run);
    }
}

/// How long a request runs: as many milliseconds as its target names behind `ms=`.
fn run_time(target: &str) -> Duration {
    let ms = target.split_once("ms=").and_then(|(_, ms)| ms.parse().ok());
    Duration::from_millis(ms.unwrap_or(0))
}

/// Returns false if the gateway has closed the connection, which is not an error in these tests.
async fn send(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}
