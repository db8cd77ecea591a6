//! Stand-in for an endpoint of the users' platform, and the links over which zones reach it.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{respond, Reader};
use crate::record::Record;
use crate::store::Store;

/// A request that an endpoint ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub endpoint: String,
    pub service: String,
    pub at: Instant,
}

/// An endpoint.
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
    pub address: SocketAddr,
    running: AtomicU32,
    /// Whether the endpoint is entered in the store.
    is_listed: Mutex<bool>,
    seq: AtomicU64,
    born: u128,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
}

impl Endpoint {
    /// Starts an endpoint, which writes its entry into the store every 1.5 s. Its runs are added to `runs`.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        (slots, work): (u32, Duration),
        store: &Arc<Store>,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            slots,
            work,
            address: listener.local_addr().unwrap(),
            running: AtomicU32::new(0),
            is_listed: Mutex::new(true),
            seq: AtomicU64::new(0),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&endpoint);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = Arc::clone(&served);
                thread::spawn(move || endpoint.serve(stream));
            }
        });
        let (beating, store) = (Arc::clone(&endpoint), Arc::clone(store));
        thread::spawn(move || loop {
            let is_listed = beating.is_listed.lock().unwrap();
            if *is_listed {
                store.put("keyed.servers", &beating.id, &beating.entry());
            }
            drop(is_listed);
            thread::sleep(Duration::from_millis(1_500));
        });
        endpoint
    }

    /// Removes the entry of the endpoint, which serves on but says in its responses that it leaves. Returns when the
    /// store has acknowledged the removal.
    pub fn leave(&self, store: &Store) -> Instant {
        let mut is_listed = self.is_listed.lock().unwrap();
        *is_listed = false;
        store.put("keyed.servers", &self.id, "")
    }

    fn entry(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let Self { id, service, zone, slots, born, .. } = self;
        format!(
            "{{\"address\":\"{{{{{id}}}}}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
             \"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\"seq\":{seq},\
             \"rampLeftS\":0}},\"born\":{born}}}"
        )
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::Relaxed);
        format!("X-Server-Load: {},{},{},100\r\n", running.min(self.slots), running.saturating_sub(self.slots), self.slots)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream.try_clone().unwrap());
        while let Ok(Some(req)) = reader.next() {
            let is_leaving = !*self.is_listed.lock().unwrap();
            let close = if is_leaving { "Connection: close\r\n" } else { "" };
            let written = if req.target().1 == "/health" {
                let status = if is_leaving { "503 Service Unavailable" } else { "200 OK" };
                let headers = format!("X-Instance-Id: {}\r\n{close}{}", self.id, self.load());
                respond(&mut stream, status, &headers, b"")
            } else if req.header("x-expect-instance").is_some_and(|id| id != self.id) {
                respond(&mut stream, "421 Misdirected Request", close, b"")
            } else if let Some(id) = req.header("x-attempt-id") {
                let before = self.running.fetch_add(1, Ordering::Relaxed);
                let echo = format!("X-Attempt-Id: {id}\r\n{close}");
                if before >= self.slots {
                    self.running.fetch_sub(1, Ordering::Relaxed);
                    let headers = format!("{echo}X-Not-Executed: 1\r\n{}", self.load());
                    respond(&mut stream, "503 Service Unavailable", &headers, b"")
                } else {
                    self.run(id, req.body_len);
                    let headers = format!("{echo}X-Response-Signature: {}.{id}\r\n{}", self.id, self.load());
                    respond(&mut stream, "200 OK", &headers, format!("{} ran {id}", self.id).as_bytes())
                }
            } else {
                respond(&mut stream, "400 Bad Request", &format!("X-Not-Executed: 1\r\n{close}"), b"")
            };
            if written.is_err() || is_leaving {
                return;
            }
        }
    }

    fn run(&self, id: &str, bytes: usize) {
        self.record.line(&format!("ran request={id} endpoint={} service={} body_bytes={bytes}", self.id, self.service));
        self.runs.lock().unwrap().push(Run {
            id: id.into(),
            endpoint: self.id.clone(),
            service: self.service.clone(),
            at: Instant::now(),
        });
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The way from the hosts of one zone to one endpoint. While it is cut, connections that are open hang, and so do new
/// ones: nothing is passed on in either direction.
pub struct EndpointLink {
    pub address: SocketAddr,
}

impl EndpointLink {
    pub fn open(to: SocketAddr, is_cut: &Arc<AtomicBool>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let is_cut = Arc::clone(is_cut);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let is_cut = Arc::clone(&is_cut);
                thread::spawn(move || {
                    wait_while(&is_cut);
                    let Ok(server) = TcpStream::connect(to) else { return };
                    let (client_2, server_2) = (client.try_clone().unwrap(), server.try_clone().unwrap());
                    let cut_2 = Arc::clone(&is_cut);
                    thread::spawn(move || copy(server_2, client_2, &cut_2));
                    copy(client, server, &is_cut);
                });
            }
        });
        Self { address }
    }
}

fn wait_while(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::Acquire) {
        thread::sleep(Duration::from_millis(10));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    use std::io::{Read, Write};
    let _ = to.set_nodelay(true);
    let mut bytes = [0; 64 << 10];
    while let Ok(n @ 1..) = from.read(&mut bytes) {
        wait_while(is_cut);
        if to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    wait_while(is_cut);
    let _ = to.shutdown(Shutdown::Write);
}
