//! Stand-in of an endpoint. It can end at any moment, as a process that crashes, and start again.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Reader, respond};
use crate::store::Store;

/// Interval at which an endpoint writes its entry: `heartbeatS`.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Slots of an endpoint.
const SLOTS: u32 = 8;

/// What an endpoint does with a request before it runs it.
pub enum Run {
    /// It works for this long and responds.
    Work(Duration),
    /// Its process ends.
    Crash,
}

/// Called as an endpoint begins to run a request.
pub type OnRun = Arc<dyn Fn(&Endpoint, &Message) -> Run + Send + Sync>;

/// One incarnation of an endpoint.
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    born_ms: u64,
    zone: String,
    store: Arc<Store>,
    on_run: OnRun,
    has_ended: AtomicBool,
    running: AtomicU32,
    beats: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
}

impl Endpoint {
    /// Starts an endpoint that accepts requests at once, and writes its entry `entry_after` that and then every
    /// heartbeat.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        address: SocketAddr,
        store: &Arc<Store>,
        on_run: &OnRun,
        entry_after: Duration,
    ) -> Arc<Self> {
        let listener = bind(address);
        listener.set_nonblocking(true).unwrap();
        let endpoint = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            born_ms: unix_ms(),
            zone: zone.to_owned(),
            store: Arc::clone(store),
            on_run: Arc::clone(on_run),
            has_ended: AtomicBool::new(false),
            running: AtomicU32::new(0),
            beats: AtomicU64::new(0),
            connections: Mutex::default(),
        });
        let beating = Arc::clone(&endpoint);
        thread::spawn(move || {
            thread::sleep(entry_after);
            while !beating.has_ended() {
                beating.write_entry();
                thread::sleep(HEARTBEAT);
            }
        });
        let accepting = Arc::clone(&endpoint);
        thread::spawn(move || accepting.accept(&listener));
        endpoint
    }

    pub fn has_ended(&self) -> bool {
        self.has_ended.load(SeqCst)
    }

    fn write_entry(&self) {
        let seq = self.beats.fetch_add(1, SeqCst);
        let entry = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\
             \"slots\":{SLOTS}}},\"status\":{{\"state\":\"ready\",\"seq\":{seq},\"rampLeftS\":0}}}}",
            self.address, self.born_ms, self.service, self.zone
        );
        self.store.put("keyed.servers", &self.id, &entry);
    }

    /// Ends as a process does that is killed: nobody listens any more and all connections end.
    pub fn crash(&self) {
        self.has_ended.store(true, SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while !self.has_ended() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            stream.set_nodelay(true).unwrap();
            let Ok(copy) = stream.try_clone() else { continue };
            let mut connections = self.connections.lock().unwrap();
            if self.has_ended() {
                return;
            }
            connections.push(copy);
            drop(connections);
            let endpoint = Arc::clone(&self);
            thread::spawn(move || endpoint.serve(stream));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = Reader::new();
        while let Ok(Some(req)) = reader.next(&mut stream) {
            if self.has_ended() || self.answer(&mut stream, &req).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, stream: &mut TcpStream, req: &Message) -> std::io::Result<()> {
        let load = format!("X-Server-Load: {},0,{SLOTS}\r\n", self.running.load(SeqCst));
        let instance = format!("X-Instance-Id: {}\r\n", self.id);
        if req.target() == "/health" {
            return respond(stream, "200 OK", &(instance + &load), b"");
        }
        let Some(attempt) = req.header("x-attempt-id") else {
            return respond(stream, "400 Bad Request", "X-Not-Executed: 1\r\n", b"");
        };
        let echo = format!("X-Attempt-Id: {attempt}\r\n");
        if req.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return respond(stream, "421 Misdirected Request", &(instance + &echo), b"");
        }
        self.running.fetch_add(1, SeqCst);
        let run = (self.on_run)(self, req);
        if let Run::Work(time) = run {
            thread::sleep(time);
        }
        self.running.fetch_sub(1, SeqCst);
        if self.has_ended() || matches!(run, Run::Crash) {
            self.crash();
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let body = format!("{} of {} has run {attempt}", self.id, self.service);
        let headers = format!("{echo}{load}X-Response-Signature: {attempt}.{}\r\n", body.len());
        respond(stream, "200 OK", &headers, body.as_bytes())
    }
}

/// Listens at an address that an earlier incarnation may have left a moment ago.
fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(_) => thread::sleep(Duration::from_millis(10)),
        }
    }
    panic!("cannot listen on {address}")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
