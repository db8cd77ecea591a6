//! The connections that a gateway has open, and what it owes on each of them.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::{
    connection_stage::ConnectionStage, connection_work::ConnectionWork, metrics::count_given_up,
    stage_counts::StageCounts,
};
use crate::core::memory::{
    Activity, ActivityKind, CONNECTION_BYTES, Charge, MemoryAccount, MemoryClass,
    choose_for_connection, choose_for_memory,
};

/// Bytes that a message has to advance by to count as progress.
const MIN_PROGRESS_BYTES: usize = 4 << 10;

/// Connections that were given up and are not closed yet, beyond which no further one is accepted.
const MAX_LEAVING: usize = 16;

/// All connections of clients and other gateways from the moment at which they are accepted until they are closed.
#[derive(Debug)]
pub struct OpenConnections {
    max: usize,
    memory: MemoryAccount,
    connections: Mutex<Connections>,
    /// Number of open connections and of acceptors, which may open more.
    open: watch::Sender<usize>,
}

#[derive(Debug, Default)]
struct Connections {
    by_number: HashMap<u64, Arc<Entry>>,
    next_number: u64,
}

#[derive(Debug)]
struct Entry {
    work: Mutex<ConnectionWork>,
    activity: Mutex<Activity>,
    /// Whether it is to be closed to make room.
    is_given_up: AtomicBool,
    given_up: Notify,
    /// What the connection has taken without its messages. A connection for which another one is given up gets that one's.
    charge: Mutex<Option<Charge>>,
}

/// Proof that no connection is open and none can be opened any more, so that no byte is owed to anybody.
#[derive(Debug)]
pub struct Drained(());

/// Accepts connections. No gateway is drained while it has one.
#[derive(Debug)]
pub(super) struct Acceptor(Counted);

/// An open connection. Dropped after the socket, as the gateway may be drained from then on.
#[derive(Debug)]
pub(super) struct OpenConnection {
    entry: Arc<Entry>,
    number: u64,
    /// Bytes since the last progress.
    advanced: usize,
    counted: Counted,
}

/// Counts as open until it is dropped.
#[derive(Debug)]
struct Counted(Arc<OpenConnections>);

impl OpenConnections {
    /// `max` connections at most are kept, each with its part of `memory`.
    pub(super) fn new(max: usize, memory: MemoryAccount) -> Arc<Self> {
        Arc::new(Self {
            max,
            memory,
            connections: Mutex::default(),
            open: watch::Sender::new(0),
        })
    }

    /// Returns the right to open connections.
    pub(super) fn acceptor(self: &Arc<Self>) -> Acceptor {
        Acceptor(Counted::new(self))
    }

    /// Waits until all acceptors and connections have ended.
    pub async fn drained(&self) -> Drained {
        let mut open = self.open.subscribe();
        // The sender is a field of `self`, so it is not dropped meanwhile.
        let _ = open.wait_for(|open| *open == 0).await;
        Drained(())
    }

    /// What is to be done on each connection that is open.
    pub fn unfinished(&self) -> Vec<ConnectionWork> {
        let connections = self.connections.lock();
        let entries = connections.by_number.values();
        entries.map(|entry| entry.work.lock().clone()).collect()
    }

    /// Number of connections in each stage.
    pub(super) fn stages(&self) -> StageCounts {
        let works = self.unfinished();
        StageCounts(works.iter().map(|work| work.stage).collect())
    }

    /// Whether so many connections are open, with those that were given up, that no further one may be accepted yet.
    pub(super) fn is_overfull(&self) -> bool {
        self.connections.lock().by_number.len() >= self.max + MAX_LEAVING
    }

    fn is_full(&self, connections: &Connections) -> bool {
        let open = connections.by_number.len();
        open >= self.max && open - connections.leaving() >= self.max
    }

    /// Gives up connections that hold memory and make no progress, for `bytes`. Returns whether some memory will be free soon.
    pub(super) fn reclaim(&self, now: Instant, bytes: usize) -> bool {
        let connections = self.connections.lock();
        let leaving = connections.by_number.values();
        let leaving = leaving.filter(|entry| entry.is_given_up());
        let coming: usize = leaving.map(|entry| entry.activity.lock().held).sum();
        if coming >= bytes {
            return true;
        }
        let chosen = choose_for_memory(now, bytes - coming, connections.kept());
        chosen.iter().for_each(|entry| entry.give_up());
        coming > 0 || !chosen.is_empty()
    }
}

impl Connections {
    /// The connections that are not given up, with what they do.
    fn kept(&self) -> impl Iterator<Item = (Arc<Entry>, Activity)> {
        let kept = self.by_number.values().filter(|e| !e.is_given_up());
        kept.map(|entry| (Arc::clone(entry), *entry.activity.lock()))
    }

    fn leaving(&self) -> usize {
        let entries = self.by_number.values();
        entries.filter(|entry| entry.is_given_up()).count()
    }
}

impl Entry {
    fn is_given_up(&self) -> bool {
        self.is_given_up.load(Ordering::Acquire)
    }

    fn give_up(&self) {
        self.is_given_up.store(true, Ordering::Release);
        self.given_up.notify_one();
        count_given_up(self.activity.lock().kind);
    }
}

impl Acceptor {
    /// The connections that it opens.
    pub(super) fn connections(&self) -> &OpenConnections {
        &self.0.0
    }

    /// Records a connection that was accepted. When there are too many, one that does least is given up for it; `None` if all do
    /// something.
    pub(super) fn open(&self, now: Instant, peer: SocketAddr) -> Option<OpenConnection> {
        let all = &self.0.0;
        let mut connections = all.connections.lock();
        let mut charge = all.memory.charge(MemoryClass::Connections);
        let has_room = !all.is_full(&connections) && charge.try_grow_to(CONNECTION_BYTES);
        let charge = if has_room {
            Some(charge)
        } else {
            let leaving = choose_for_connection(now, connections.kept())?;
            leaving.give_up();
            leaving.charge.lock().take()
        };
        let entry = Arc::new(Entry {
            work: Mutex::new(ConnectionWork {
                peer,
                stage: ConnectionStage::Idle,
                requests: VecDeque::new(),
                bytes_left: 0,
            }),
            activity: Mutex::new(Activity {
                kind: ActivityKind::Unused,
                since: now,
                held: 0,
            }),
            is_given_up: AtomicBool::new(false),
            given_up: Notify::new(),
            charge: Mutex::new(charge),
        });
        let number = connections.next_number;
        connections.next_number += 1;
        connections.by_number.insert(number, Arc::clone(&entry));
        Some(OpenConnection {
            entry,
            number,
            advanced: 0,
            counted: Counted::new(all),
        })
    }
}

impl OpenConnection {
    /// Records that a request is complete.
    pub(super) fn add_request(&self, id: &[u8]) {
        self.entry.work.lock().requests.push_back(id.to_vec());
    }

    /// Records what is done now, and the memory that the message has taken.
    pub(super) fn record_activity(
        &mut self,
        now: Instant,
        stage: ConnectionStage,
        kind: ActivityKind,
        held: usize,
    ) {
        self.entry.work.lock().stage = stage;
        let mut activity = self.entry.activity.lock();
        if activity.kind != kind {
            activity.since = now;
            self.advanced = 0;
        }
        activity.kind = kind;
        activity.held = held;
        if kind == ActivityKind::Serving {
            // A request that has become complete is served, whatever was decided before.
            self.entry.is_given_up.store(false, Ordering::Release);
        }
    }

    /// Records that a message has advanced by this many bytes.
    pub(super) fn record_progress(&mut self, now: Instant, bytes: usize) {
        self.advanced += bytes;
        if self.advanced >= MIN_PROGRESS_BYTES {
            self.advanced = 0;
            self.entry.activity.lock().since = now;
        }
    }

    /// Waits until the connection is to be closed to make room.
    pub(super) async fn given_up(&self) {
        while !self.entry.is_given_up() {
            self.entry.given_up.notified().await;
        }
    }

    /// Records that this many bytes of the first response are still to be handed to the kernel.
    pub(super) fn record_writing(&self, bytes_left: usize) {
        let mut work = self.entry.work.lock();
        work.stage = ConnectionStage::Writing;
        work.bytes_left = bytes_left;
    }

    /// Records that the response to the first request is with the kernel.
    pub(super) fn record_written(&self) {
        let mut work = self.entry.work.lock();
        work.requests.pop_front();
        work.bytes_left = 0;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut connections = self.counted.0.connections.lock();
        connections.by_number.remove(&self.number);
    }
}

impl Counted {
    fn new(all: &Arc<OpenConnections>) -> Self {
        all.open.send_modify(|open| *open += 1);
        Self(Arc::clone(all))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.open.send_modify(|open| *open -= 1);
    }
}
