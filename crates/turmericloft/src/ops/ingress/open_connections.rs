//! The connections that a gateway has open, and what it owes on each of them.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    net::SocketAddr,
    sync::Arc,
};

use parking_lot::Mutex;
use strum::VariantArray;
use tokio::sync::watch;

use super::connection_stage::ConnectionStage;

/// All connections of clients and other gateways from the moment at which they are accepted until they are closed.
#[derive(Debug)]
pub struct OpenConnections {
    connections: Mutex<Connections>,
    /// Number of open connections and of acceptors, which may open more.
    open: watch::Sender<usize>,
}

#[derive(Debug, Default)]
struct Connections {
    by_number: HashMap<u64, Arc<Mutex<ConnectionWork>>>,
    next_number: u64,
}

/// What is to be done on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionWork {
    /// Address of the client or the other gateway.
    pub peer: SocketAddr,
    /// What the gateway does now.
    pub stage: ConnectionStage,
    /// Ids of the requests without a complete response, in the order in which they arrived.
    pub requests: VecDeque<Vec<u8>>,
    /// Bytes of the present response that are not handed to the kernel.
    pub bytes_left: usize,
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
    work: Arc<Mutex<ConnectionWork>>,
    number: u64,
    counted: Counted,
}

/// Counts as open until it is dropped.
#[derive(Debug)]
struct Counted(Arc<OpenConnections>);

impl OpenConnections {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
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
        let works = connections.by_number.values();
        works.map(|work| work.lock().clone()).collect()
    }

    /// Number of connections in each stage.
    pub(super) fn stages(&self) -> StageCounts {
        let works = self.unfinished();
        StageCounts(works.iter().map(|work| work.stage).collect())
    }
}

impl Acceptor {
    /// Records a connection that was accepted.
    pub(super) fn open(&self, peer: SocketAddr) -> OpenConnection {
        let all = &self.0.0;
        let work = Arc::new(Mutex::new(ConnectionWork {
            peer,
            stage: ConnectionStage::Idle,
            requests: VecDeque::new(),
            bytes_left: 0,
        }));
        let mut connections = all.connections.lock();
        let number = connections.next_number;
        connections.next_number += 1;
        connections.by_number.insert(number, Arc::clone(&work));
        OpenConnection {
            work,
            number,
            counted: Counted::new(all),
        }
    }
}

impl OpenConnection {
    /// Records that a request is complete.
    pub(super) fn add_request(&self, id: &[u8]) {
        self.work.lock().requests.push_back(id.to_vec());
    }

    /// Records what is done now.
    pub(super) fn set_stage(&self, stage: ConnectionStage) {
        self.work.lock().stage = stage;
    }

    /// Records that this many bytes of the first response are still to be handed to the kernel.
    pub(super) fn record_writing(&self, bytes_left: usize) {
        let mut work = self.work.lock();
        work.stage = ConnectionStage::Writing;
        work.bytes_left = bytes_left;
    }

    /// Records that the response to the first request is with the kernel.
    pub(super) fn record_written(&self) {
        let mut work = self.work.lock();
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

impl fmt::Display for ConnectionWork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            peer,
            stage,
            requests,
            bytes_left,
        } = self;
        let first = requests.front().map(Vec::as_slice).unwrap_or_default();
        let request = String::from_utf8_lossy(first);
        let waiting = requests.len().saturating_sub(1);
        write!(
            f,
            "peer={peer} stage={stage} request={request} bytes_left={bytes_left} waiting={waiting}"
        )
    }
}

/// Stages of all connections. Shown as the number in each stage.
#[derive(Debug)]
pub(super) struct StageCounts(Vec<ConnectionStage>);

impl fmt::Display for StageCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connections={}", self.0.len())?;
        for stage in ConnectionStage::VARIANTS {
            let count = self.0.iter().filter(|other| *other == stage).count();
            write!(f, " {stage}={count}")?;
        }
        Ok(())
    }
}
