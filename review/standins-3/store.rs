//! Stand-in of the platform's store: topics with one partition, keyed, in memory.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, respond};

/// Decides on a write of a gateway. `Some` loses its answer and executes it that much later.
pub type OnWrite = Box<dyn Fn(&str, &[u8]) -> Option<Duration> + Send + Sync>;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
}

pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    appended: Condvar,
    on_write: Mutex<Option<OnWrite>>,
    /// Whether it accepts calls and answers none.
    is_silent: AtomicBool,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port of this address.
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let store = Arc::new(Self {
            topics: Mutex::default(),
            appended: Condvar::new(),
            on_write: Mutex::new(None),
            is_silent: AtomicBool::new(false),
            address: listener.local_addr().unwrap(),
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(stream, None));
            }
        });
        store
    }

    /// Serves the store at another address too, where records have the second text in place of the first one.
    pub fn start_view(self: &Arc<Self>, ip: &str, texts: (&'static str, &'static str)) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().unwrap();
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || store.serve(stream, Some(texts)));
            }
        });
        address
    }

    pub fn set_on_write(&self, on_write: OnWrite) {
        *self.on_write.lock().unwrap() = Some(on_write);
    }

    /// Sets whether the store is down: it answers no calls, and does nothing of what they ask.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, SeqCst);
        self.appended.notify_all();
    }

    /// Appends a record of a key for the operator or an endpoint; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = [&[key.len() as u8], key.as_bytes(), value.as_bytes()].concat();
        self.append(topic, vec![record]);
    }

    /// Appends records, and returns the offset of the first one and the end.
    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len();
        topic.records.extend(records);
        let end = topic.records.len();
        self.appended.notify_all();
        (offset, end)
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream, view: View) {
        let mut reader = Reader::new();
        while let Ok(Some(req)) = reader.next(&mut stream) {
            if self.is_silent.load(SeqCst) {
                // The connection returns nothing, also after the outage.
                thread::sleep(Duration::from_secs(30));
                return;
            }
            let path = req.target().split('?').next().unwrap_or_default().to_owned();
            let done = match path.as_str() {
                "/-/log-append" => self.serve_append(&mut stream, &req),
                "/-/log-read" => self.serve_read(&mut stream, &req, view),
                "/-/log-newest" => self.serve_newest(&mut stream, &req, view),
                _ => respond(&mut stream, "404 Not Found", "", b"").is_ok(),
            };
            if !done {
                return;
            }
        }
    }

    fn serve_append(self: &Arc<Self>, stream: &mut TcpStream, req: &Message) -> bool {
        let topic = req.query("topic").unwrap_or_default();
        if topic == "keyed.op" || topic == "keyed.servers" {
            return respond(stream, "403 Forbidden", "", b"").is_ok();
        }
        let records = split_records(&req.body);
        let on_write = self.on_write.lock().unwrap();
        let late = on_write.as_ref().and_then(|decide| decide(&topic, &req.body));
        drop(on_write);
        if let Some(delay) = late {
            let store = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(delay);
                store.append(&topic, records);
            });
            // The answer is lost, and the connection returns nothing further.
            thread::sleep(Duration::from_secs(30));
            return false;
        }
        thread::sleep(Duration::from_millis(4));
        let (offset, end) = self.append(&topic, records);
        let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
        respond(stream, "200 OK", JSON, body.as_bytes()).is_ok()
    }

    fn serve_read(&self, stream: &mut TcpStream, req: &Message, view: View) -> bool {
        let topic = req.query("topic").unwrap_or_default();
        let from: usize = req.query("from").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait: u64 = req.query("waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
        let max_kb: usize = req.query("maxKb").and_then(|v| v.parse().ok()).unwrap_or(1_024);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(&topic).map_or(0, |t| t.records.len());
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
            if self.is_silent.load(SeqCst) {
                drop(topics);
                thread::sleep(Duration::from_secs(30));
                return false;
            }
        }
        let records = topics.get(&topic).map(|t| &t.records[..]).unwrap_or_default();
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            if body.len() > 16 && body.len() + record.len() > max_kb << 10 {
                break;
            }
            let record = seen(record, view);
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        drop(topics);
        respond(stream, "200 OK", "Content-Type: application/octet-stream\r\n", &body).is_ok()
    }

    fn serve_newest(&self, stream: &mut TcpStream, req: &Message, view: View) -> bool {
        let topic = req.query("topic").unwrap_or_default();
        let topics = self.topics.lock().unwrap();
        let records = topics.get(&topic).map(|t| &t.records[..]).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = key_and_value(&seen(record, view));
            match value.is_empty() {
                true => newest.remove(&key),
                false => newest.insert(key, (offset, base64(&value))),
            };
        }
        let end = records.len();
        drop(topics);
        let items: Vec<_> = newest
            .into_iter()
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let body = format!("{{\"items\":[{}],\"more\":false,\"end\":{end}}}", items.join(","));
        respond(stream, "200 OK", JSON, body.as_bytes()).is_ok()
    }
}

/// What is replaced in records, and by what.
type View = Option<(&'static str, &'static str)>;

/// A record as it is seen in a view. Both texts of a view have the same length.
fn seen(record: &[u8], view: View) -> Vec<u8> {
    let mut record = record.to_vec();
    if let Some((from, to)) = view
        && let Some(at) = record.windows(from.len()).position(|w| w == from.as_bytes())
    {
        record[at..at + to.len()].copy_from_slice(to.as_bytes());
    }
    record
}

const JSON: &str = "Content-Type: application/json\r\n";

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        records.push(body[4..4 + length].to_vec());
        body = &body[4 + length..];
    }
    records
}

fn key_and_value(record: &[u8]) -> (String, Vec<u8>) {
    let length = usize::from(record[0]);
    let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
    (key, record[1 + length..].to_vec())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |all, b| all << 8 | u32::from(*b));
        let group = group << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
