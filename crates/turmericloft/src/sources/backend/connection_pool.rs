//! Connections to one endpoint, kept for reuse.
//!
//! A gateway never has more requests in flight at an endpoint than its share of the endpoint's
//! connections, and a connection is opened only when none is idle, so the pool needs no limit.

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
use tokio::time::{MissedTickBehavior, interval};

use super::{
    AbortReason, BodyError, ConnectionLease, RequestBody, SendError,
    connection::{Connection, Reuse, now},
};
use crate::{core::Step, sources::response_status::ResponseKind, util::fault_point::FaultPoint};

/// Time between two checks whether a connection with an outstanding request has stalled.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which an idle connection is closed instead of reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Pool of the connections to one endpoint.
#[derive(Debug)]
pub struct ConnectionPool {
    peer: SocketAddr,
    connections: Mutex<Connections>,
}

#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Connection>,
    /// Latest time at which a request was sent whose response is complete.
    last_completed_sent: Option<Instant>,
    /// Latest time since which a stalled connection had an outstanding request.
    stalled_since: Option<Instant>,
}

/// What [`ConnectionPool::send`] needs of the call: input of the stall detection, and a counter.
#[derive(Clone, Copy, Debug)]
pub struct SendContext<'a> {
    /// Whether the request may be sent again while this attempt may still run it.
    pub is_idempotent: bool,
    /// Whether the request is sent on a new connection, as one attempt of the call was sent to this
    /// endpoint before: what silenced that one may have silenced all idle connections.
    pub needs_new_connection: bool,
    /// Mean latency of the service, for detecting a stalled connection.
    pub mean_latency: Duration,
    /// Number of attempts of the call that a backend server may have received.
    pub sent: &'a AtomicU32,
}

/// A response whose body is still arriving, with the connection on which it arrives.
#[derive(Debug)]
pub struct BackendResponse {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Returns the connection to the pool when dropped.
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

    /// Sends a request and waits for the head of the response. If the connection stalls meanwhile,
    /// an idempotent request is given up, and the error has [`AbortReason::StalledConnection`] as
    /// its source. A request that must not run twice keeps waiting: nobody may send it again, and
    /// a host that does not run the process for a moment looks like a stalled connection.
    pub async fn send(
        self: &Arc<Self>,
        mut req: Request<RequestBody>,
        context: SendContext<'_>,
    ) -> Result<BackendResponse, SendError> {
        while !context.needs_new_connection
            && let Some(mut connection) = self.take_idle()
        {
            if !connection.is_ready().await {
                continue;
            }
            match self.send_on(connection, req, context).await {
                Err(SendError {
                    unsent: Some(unsent),
                    ..
                }) => req = *unsent,
                result => return result,
            }
        }
        match Connection::open(self.peer).await {
            Ok(connection) => self.send_on(connection, req, context).await,
            Err(source) => Err(self.error(Step::Connected, Some(req), source)),
        }
    }

    /// Opens a connection if none is idle, so that the next request need not wait for one.
    pub async fn warm_up(&self) {
        if !self.connections.lock().idle.is_empty() {
            return;
        }
        if let Ok(connection) = Connection::open(self.peer).await {
            self.connections.lock().idle.push(connection);
        }
    }

    pub(super) fn release(&self, mut connection: Connection, reuse: Reuse) {
        let sent = connection.progress.pending_since();
        connection.progress.record_response(now());
        let mut connections = self.connections.lock();
        connections.last_completed_sent = connections.last_completed_sent.max(sent);
        if reuse == Reuse::IfOpen && !connection.sender.is_closed() {
            connections.idle.push(connection);
        }
    }

    async fn send_on(
        self: &Arc<Self>,
        mut connection: Connection,
        req: Request<RequestBody>,
        context: SendContext<'_>,
    ) -> Result<BackendResponse, SendError> {
        FaultPoint::Connected.trigger();
        connection.progress.record_request(now());
        context.sent.fetch_add(1, Ordering::AcqRel);
        let progress = connection.progress;
        let mut check = interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_recorded = false;
        let response = connection.sender.try_send_request(req);
        tokio::pin!(response);
        let result = loop {
            tokio::select! {
                biased;
                result = &mut response => break result,
                _ = check.tick(), if !is_recorded => {
                    let last = self.connections.lock().last_completed_sent;
                    if progress.is_stalled(now(), context.mean_latency, last) {
                        self.record_stall(progress.pending_since());
                        is_recorded = true;
                        if !context.is_idempotent {
                            continue;
                        }
                        let source = Box::new(AbortReason::StalledConnection);
                        return Err(self.error(Step::FirstByteSent, None, source));
                    }
                }
            }
        };
        match result {
            Ok(response) => {
                if let Err(invalid) = ResponseKind::of(response.status().as_u16()) {
                    self.release(connection, Reuse::Never);
                    return Err(self.error(Step::AnswerBegun, None, Box::new(invalid)));
                }
                connection.progress.record_bytes(now());
                let lease = ConnectionLease {
                    pool: Arc::clone(self),
                    connection: Some(connection),
                };
                Ok(BackendResponse { response, lease })
            }
            Err(mut e) => {
                let unsent = e.take_message();
                let step = if unsent.is_some() {
                    context.sent.fetch_sub(1, Ordering::AcqRel);
                    Step::Connected
                } else {
                    Step::FirstByteSent
                };
                Err(self.error(step, unsent, e.into_error().into()))
            }
        }
    }

    /// Records a stalled connection and closes the idle ones that received nothing since: a network
    /// path that lost the state of one connection may have lost that of the others too.
    fn record_stall(&self, pending_since: Option<Instant>) {
        let mut connections = self.connections.lock();
        connections.stalled_since = connections.stalled_since.max(pending_since);
        if let Some(since) = connections.stalled_since {
            connections
                .idle
                .retain(|c| c.progress.received_after(since));
        }
    }

    /// The most recently used idle connection that is open and has not timed out.
    fn take_idle(&self) -> Option<Connection> {
        let oldest = now().checked_sub(IDLE_TIMEOUT);
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
