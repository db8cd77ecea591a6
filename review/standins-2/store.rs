//! Stand-in for the platform's store: keyed topics with one partition each, by the users' protocol.
//!
//! Each host reaches the store at an address of its own, which stands for its link. A link can have the store refuse
//! all calls of its host with 503. Entries of endpoints are rendered with the addresses by which the link's zone
//! reaches them, so that the way between a zone and the endpoints can be cut.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{respond, Message, Reader};

const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, u64>,
}

impl Topic {
    fn append(&mut self, key: String, value: Vec<u8>) {
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key.clone(), self.records.len() as u64);
        }
        self.records.push((key, value));
    }
}

/// The store.
#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    appended: Condvar,
    /// Appends that have arrived, lost ones too.
    pub appends: AtomicU64,
    /// Which appends get no answer and are executed later.
    lost: Mutex<Option<LostAppends>>,
}

/// Appends that the store executes late and does not answer: the next one of each key whose value contains a text.
pub struct LostAppends {
    pub topic: String,
    pub containing: String,
    pub keys: Vec<String>,
    /// Those that were lost so far, which are executed when the scenario says so.
    pub taken: Arc<Mutex<Vec<LostAppend>>>,
}

/// An append that got no answer.
#[derive(Clone)]
pub struct LostAppend {
    pub key: String,
    pub value: Vec<u8>,
    pub at: Instant,
}

/// The way of one host to the store.
#[derive(Clone)]
pub struct StoreLink {
    pub address: SocketAddr,
    /// Whether the store refuses all calls of the host.
    pub is_refused: Arc<AtomicBool>,
    /// Whether the host is partitioned from the store: all its connections are reset.
    pub is_cut: Arc<AtomicBool>,
    /// Calls of the host that were answered.
    pub answered: Arc<AtomicU64>,
}

/// Replaces the names of endpoints by the addresses that a host's zone uses: `{{id}}` by its address.
pub type Addresses = Arc<HashMap<String, SocketAddr>>;

impl Store {
    /// Appends a record and returns when it is acknowledged.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.into()).or_default();
        topic.append(key.into(), value.as_bytes().to_vec());
        self.appended.notify_all();
        Instant::now()
    }

    /// Opens the way of one host, whose zone reaches endpoints at `addresses`.
    pub fn link(self: &Arc<Self>, addresses: Addresses) -> StoreLink {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let link = StoreLink {
            address,
            is_refused: Arc::default(),
            is_cut: Arc::default(),
            answered: Arc::default(),
        };
        let (store, served) = (Arc::clone(self), link.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, link) = (Arc::clone(&store), served.clone());
                let addresses = Arc::clone(&addresses);
                thread::spawn(move || store.serve(stream, &link, &addresses));
            }
        });
        link
    }

    fn serve(&self, mut stream: TcpStream, link: &StoreLink, addresses: &Addresses) {
        let refused = &*link.is_refused;
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream.try_clone().unwrap());
        while let Ok(Some(call)) = reader.next() {
            if link.is_cut.load(Ordering::Acquire) {
                return;
            }
            // The time of an answer.
            thread::sleep(Duration::from_millis(4));
            if self.loses(&call) {
                // A connection on which a response is lost returns nothing further.
                thread::sleep(Duration::from_secs(10));
                return;
            }
            let (status, body) = match refused.load(Ordering::Acquire) {
                true => ("503 Service Unavailable", Vec::new()),
                false => self.answer(&call, refused, addresses),
            };
            if link.is_cut.load(Ordering::Acquire) {
                return;
            }
            link.answered.fetch_add(1, Ordering::Relaxed);
            if respond(&mut stream, status, "Content-Type: application/json\r\n", &body).is_err() {
                return;
            }
        }
    }

    /// Has the store lose answers.
    pub fn lose(&self, lost: LostAppends) {
        *self.lost.lock().unwrap() = Some(lost);
    }

    /// Newest value of a key, as text.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.topics.lock().unwrap();
        let topic = topics.get(topic)?;
        let offset = *topic.newest.get(key)?;
        Some(String::from_utf8_lossy(&topic.records[offset as usize].1).into_owned())
    }

    /// Whether the answer to a call is lost.
    fn loses(&self, call: &Message) -> bool {
        let is_append = call.target().1.starts_with("/-/log-append");
        self.appends.fetch_add(u64::from(is_append), Ordering::Relaxed);
        let mut lost = self.lost.lock().unwrap();
        let Some(lost) = &mut *lost else { return false };
        if !is_append || call.query("topic") != Some(&*lost.topic) || call.body.len() < 5 {
            return false;
        }
        let key_end = 5 + call.body[4] as usize;
        let key = String::from_utf8_lossy(&call.body[5..key_end]).into_owned();
        let value = call.body[key_end..].to_vec();
        let is_meant = String::from_utf8_lossy(&value).contains(&lost.containing);
        let Some(index) = lost.keys.iter().position(|k| *k == key).filter(|_| is_meant) else {
            return false;
        };
        lost.keys.swap_remove(index);
        lost.taken.lock().unwrap().push(LostAppend { key, value, at: Instant::now() });
        true
    }

    fn answer(&self, call: &Message, refused: &AtomicBool, addresses: &Addresses) -> (&'static str, Vec<u8>) {
        let path = call.target().1.split('?').next().unwrap_or("");
        let topic = call.query("topic").unwrap_or("").to_string();
        match path {
            "/-/log-read" => self.read(call, &topic, refused, addresses),
            "/-/log-newest" => self.newest(call, &topic, addresses),
            "/-/log-append" => self.append(call, &topic),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn read(
        &self,
        call: &Message,
        topic: &str,
        refused: &AtomicBool,
        addresses: &Addresses,
    ) -> (&'static str, Vec<u8>) {
        let number = |name| call.query(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let max = number("maxKb").unwrap_or(1024) as usize * 1024;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(topic.into()).or_default();
            let end = topic.records.len() as u64;
            if from > end {
                return ("410 Gone", b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if refused.load(Ordering::Acquire) {
                return ("503 Service Unavailable", Vec::new());
            }
            if from < end || left.is_zero() {
                let mut page = [end.to_be_bytes(), 0u64.to_be_bytes()].concat();
                for (key, value) in &topic.records[from as usize..] {
                    let value = render(value, addresses);
                    let length = 1 + key.len() + value.len();
                    if page.len() > 16 && page.len() + length > max {
                        break;
                    }
                    page.extend_from_slice(&(length as u32).to_be_bytes());
                    page.push(key.len() as u8);
                    page.extend_from_slice(key.as_bytes());
                    page.extend_from_slice(&value);
                }
                return ("200 OK", page);
            }
            topics = self.appended.wait_timeout(topics, left.min(Duration::from_millis(100))).unwrap().0;
        }
    }

    fn newest(&self, call: &Message, topic: &str, addresses: &Addresses) -> (&'static str, Vec<u8>) {
        let after = call.query("after").unwrap_or("").to_string();
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.into()).or_default();
        let following: Vec<_> = topic.newest.iter().filter(|(key, _)| **key > after).collect();
        let items = following.iter().take(PAGE_ITEMS).map(|(key, offset)| {
            let value = render(&topic.records[**offset as usize].1, addresses);
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(&value))
        });
        let items: Vec<_> = items.collect();
        let more = following.len() > PAGE_ITEMS;
        let end = topic.records.len();
        let body = format!("{{\"items\":[{}],\"more\":{more},\"end\":{end}}}", items.join(","));
        ("200 OK", body.into_bytes())
    }

    fn append(&self, call: &Message, topic: &str) -> (&'static str, Vec<u8>) {
        if matches!(topic, "keyed.op" | "keyed.servers") {
            return ("403 Forbidden", Vec::new());
        }
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.into()).or_default();
        let offset = topic.records.len();
        let mut rest = &call.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            let record = &rest[4..4 + length];
            let key_end = 1 + record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            topic.append(key, record[key_end..].to_vec());
            rest = &rest[4 + length..];
        }
        let end = topic.records.len();
        self.appended.notify_all();
        ("200 OK", format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }
}

fn render(value: &[u8], addresses: &Addresses) -> Vec<u8> {
    let text = String::from_utf8_lossy(value);
    let Some((before, rest)) = text.split_once("{{") else {
        return value.to_vec();
    };
    let (id, after) = rest.split_once("}}").unwrap();
    match addresses.get(id) {
        Some(address) => format!("{before}{address}{after}").into_bytes(),
        None => value.to_vec(),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            text.push(match i <= part.len() {
                true => DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char,
                false => '=',
            });
        }
    }
    text
}
