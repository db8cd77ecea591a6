//! Connections to one endpoint, kept for reuse.
//!
//! A gateway never has more calls at an endpoint than its share of the endpoint's connections,
//! and a connection is made only when none is idle; so the pool stays within that share.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use http::{Request, Response};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::time::interval;

use super::{
    BodyError, ConnectionLease, GivenUp, RequestBody, SendError,
    connection::{Connection, now},
};
use crate::{core::Step, util::fault_point::FaultPoint};

/// Time between two checks of a connection that owes an answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which an idle connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// Connections to one endpoint.
#[derive(Debug)]
pub struct ConnectionPool {
    peer: SocketAddr,
    connections: Mutex<Connections>,
}

#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Connection>,
    /// When the latest of the answered requests was sent.
    last_answered_sent: Option<Instant>,
    /// Latest moment at which a silent connection already owed its answer.
    silent_since: Option<Instant>,
}

/// What one call is judged by while it waits for the head of its answer.
#[derive(Clone, Copy, Debug)]
pub struct SendLimits<'a> {
    /// Usual latency of the service, for telling a silent connection.
    pub usual_latency: Duration,
    /// Attempts of the call that a backend server may have got.
    pub sent: &'a AtomicU32,
}

/// An answer whose body is still arriving, with the connection it arrives on.
#[derive(Debug)]
pub struct BackendAnswer {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Puts the connection back when dropped.
    pub lease: ConnectionLease,
}

impl ConnectionPool {
    /// An empty pool for the endpoint at `peer`.
    pub fn new(peer: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            peer,
            connections: Mutex::default(),
        })
    }

    /// Sends a request and waits for the head of the answer. A connection that goes silent
    /// meanwhile is closed, and the call ends with [`GivenUp::SilentConnection`].
    pub async fn send(
        self: &Arc<Self>,
        mut req: Request<RequestBody>,
        limits: SendLimits<'_>,
    ) -> Result<BackendAnswer, SendError> {
        while let Some(mut connection) = self.take_idle() {
            if !connection.is_ready().await {
                continue;
            }
            match self.send_on(connection, req, limits).await {
                Err(SendError {
                    unsent: Some(unsent),
                    ..
                }) => req = *unsent,
                result => return result,
            }
        }
        match Connection::open(self.peer).await {
            Ok(connection) => self.send_on(connection, req, limits).await,
            Err(source) => Err(self.error(Step::Connected, Some(req), source)),
        }
    }

    /// Opens one connection if none is idle, so that the next request finds it.
    pub async fn warm_up(&self) {
        if !self.connections.lock().idle.is_empty() {
            return;
        }
        if let Ok(connection) = Connection::open(self.peer).await {
            self.connections.lock().idle.push(connection);
        }
    }

    pub(super) fn put_back(&self, mut connection: Connection) {
        let sent = connection.progress.pending_since();
        connection.progress.record_response(now());
        let mut connections = self.connections.lock();
        connections.last_answered_sent = connections.last_answered_sent.max(sent);
        if !connection.sender.is_closed() {
            connections.idle.push(connection);
        }
    }

    async fn send_on(
        self: &Arc<Self>,
        mut connection: Connection,
        req: Request<RequestBody>,
        limits: SendLimits<'_>,
    ) -> Result<BackendAnswer, SendError> {
        FaultPoint::Connected.trigger();
        connection.progress.record_request(now());
        limits.sent.fetch_add(1, Ordering::AcqRel);
        let progress = connection.progress;
        let mut check = interval(CHECK_INTERVAL);
        let answer = connection.sender.try_send_request(req);
        tokio::pin!(answer);
        let result = loop {
            tokio::select! {
                biased;
                result = &mut answer => break result,
                _ = check.tick() => {
                    let last = self.connections.lock().last_answered_sent;
                    if progress.is_stalled(now(), limits.usual_latency, last) {
                        self.note_silence(progress.pending_since());
                        let source = Box::new(GivenUp::SilentConnection);
                        return Err(self.error(Step::FirstByteSent, None, source));
                    }
                }
            }
        };
        match result {
            Ok(response) => {
                connection.progress.record_bytes(now());
                let lease = ConnectionLease {
                    pool: Arc::clone(self),
                    connection: Some(connection),
                };
                Ok(BackendAnswer { response, lease })
            }
            Err(mut e) => {
                let unsent = e.take_message();
                let step = if unsent.is_some() {
                    limits.sent.fetch_sub(1, Ordering::AcqRel);
                    Step::Connected
                } else {
                    Step::FirstByteSent
                };
                Err(self.error(step, unsent, e.into_error().into()))
            }
        }
    }

    /// Whatever lost track of one connection may have lost all that moved nothing since.
    fn note_silence(&self, owes_since: Option<Instant>) {
        let mut connections = self.connections.lock();
        connections.silent_since = connections.silent_since.max(owes_since);
        if let Some(since) = connections.silent_since {
            connections
                .idle
                .retain(|c| c.progress.received_after(since));
        }
    }

    /// The idle connection that was used last.
    fn take_idle(&self) -> Option<Connection> {
        let oldest = now().checked_sub(MAX_IDLE);
        let fresh = |c: &Connection| oldest.is_none_or(|at| c.progress.received_after(at));
        let mut connections = self.connections.lock();
        std::iter::from_fn(|| connections.idle.pop()).find(|c| !c.sender.is_closed() && fresh(c))
    }

    fn error(
        &self,
        step: Step,
        unsent: Option<Request<RequestBody>>,
        source: BodyError,
    ) -> SendError {
        SendError {
            peer: self.peer,
            step,
            unsent: unsent.map(Box::new),
            source,
        }
    }
}
