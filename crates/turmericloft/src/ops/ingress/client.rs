//! Serves the connection of one client.

use std::{
    future::Future,
    io,
    mem::take,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesOrdered};
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{
    client_response::{ClientResponse, GatewayResponse},
    forward::forward,
    open_connections::OpenConnection,
    origin::RequestOrigin,
    shared::Ingress,
};
use crate::{
    core::{
        memory::{Charge, MemoryClass},
        traffic::{RequestLimits, RouteKind},
    },
    sources::{
        http1::{ReaderLimits, Request, RequestError, RequestReader},
        send_buffer::wait_until_sent,
    },
    util::host_clock::HostClock,
};

/// Pipelined requests of one connection that are in flight at the same time.
const MAX_PIPELINED: usize = 16;
/// Bytes buffered beyond the requests in flight.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// The same while a response is pending. A client that has sent more is not read, and its disconnect
/// not noticed, before the response is written.
const MAX_PENDING_READ_AHEAD_BYTES: usize = 1 << 20;
/// Bytes reserved in the buffer for each read.
const READ_BYTES: usize = 4 << 10;
/// The same while a body arrives.
const BODY_READ_BYTES: usize = 16 << 10;
/// How often it looks for that memory.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a stopping gateway gives a client that has just connected to send its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// Tells a client to send the body of its request.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Tells another gateway that this one has taken its request. A build that does not know it skips it.
const TAKEN: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

pub(super) struct ReadyResponse {
    pub(super) response: ClientResponse,
    pub(super) is_head: bool,
    pub(super) close: bool,
}

type PendingResponse = Pin<Box<dyn Future<Output = ReadyResponse> + Send>>;

/// Serves the connection of a client until either side closes it.
pub(super) async fn serve_client(
    ingress: Arc<Ingress>,
    stream: TcpStream,
    connection: OpenConnection,
) {
    serve_connection(ingress, stream, connection, RequestOrigin::Client).await;
}

/// Serves one connection until either side closes it.
pub(super) async fn serve_connection(
    ingress: Arc<Ingress>,
    stream: TcpStream,
    connection: OpenConnection,
    origin: RequestOrigin,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::warn!("cannot set TCP_NODELAY on a client connection; closing it: {e}");
        return;
    }
    let disconnected = CancellationToken::new();
    let now = ingress.now();
    let memory = ingress.memory.clone();
    let client = ClientStream {
        ingress,
        origin,
        stream,
        reader: RequestReader::with_account(memory.clone()),
        read_ahead: memory.charge(MemoryClass::Requests),
        waits_for_memory: None,
        has_request: false,
        pending: FuturesOrdered::new(),
        deferred: None,
        is_exclusive: false,
        is_accepting: true,
        owes_sign: false,
        last_activity: now,
        idle_from: now + FIRST_REQUEST_TIMEOUT,
        request_started: None,
        disconnected: disconnected.clone(),
        _disconnect_guard: disconnected.drop_guard(),
        connection,
    };
    client.serve().await;
}

pub(super) struct ClientStream {
    pub(super) ingress: Arc<Ingress>,
    pub(super) origin: RequestOrigin,
    pub(super) stream: TcpStream,
    pub(super) reader: RequestReader,
    /// What the buffer of the reader has taken.
    pub(super) read_ahead: Charge,
    /// Since when the request that is being read has waited for memory; `None` if it has enough.
    pub(super) waits_for_memory: Option<Instant>,
    /// Whether a complete request has arrived.
    pub(super) has_request: bool,
    pub(super) pending: FuturesOrdered<PendingResponse>,
    /// An at-most-once request that waits until all earlier responses are written.
    pub(super) deferred: Option<Request>,
    /// Whether the request in flight is at-most-once, so that no other one may start.
    is_exclusive: bool,
    /// Whether further requests are read; false after one that closes the connection.
    is_accepting: bool,
    /// Whether another gateway has to be told that its request is taken.
    owes_sign: bool,
    /// Time of the last read or written byte.
    pub(super) last_activity: Instant,
    /// From when on a stopping gateway closes the connection if it is idle.
    idle_from: Instant,
    /// When the request that is being read began to arrive; `None` if there is none or a response
    /// is pending.
    request_started: Option<Instant>,
    /// Cancelled when this value is dropped.
    disconnected: CancellationToken,
    _disconnect_guard: DropGuard,
    /// The last field, so that it is dropped after the socket.
    pub(super) connection: OpenConnection,
}

impl ClientStream {
    async fn serve(mut self) {
        let closing_idle = self.ingress.closing_idle.clone();
        let ending = self.ingress.ending.clone();
        let clock = self.ingress.clock.clone();
        loop {
            self.start_requests();
            if take(&mut self.owes_sign)
                && self
                    .write_message(&Bytes::from_static(TAKEN).into())
                    .await
                    .is_err()
            {
                return;
            }
            if self.lacks_memory() {
                self.refuse_for_memory();
                continue;
            }
            if self.pending.is_empty()
                && self.waits_for_memory.is_none()
                && self.reader.take_expects_continue()
                && self
                    .write_message(&Bytes::from_static(CONTINUE).into())
                    .await
                    .is_err()
            {
                return;
            }
            let is_quiet = self.pending.is_empty();
            let is_idle = is_quiet && !self.reader.has_partial_request();
            self.record_activity(is_quiet, is_idle);
            let waits_for_memory = self.waits_for_memory.is_some();
            let unread = self.reader.buffer().len();
            // Reading notices that the client disconnects, also while a response is pending.
            let can_read = !waits_for_memory
                && match is_quiet {
                    true => self.is_accepting && unread < MAX_READ_AHEAD_BYTES,
                    false => unread < MAX_PENDING_READ_AHEAD_BYTES,
                }
                && self.take_read_ahead(unread);
            let deadline = self.read_deadline();
            let closed_idle = close_idle(&closing_idle, &clock, self.idle_from, &self.stream);
            let read_bytes = match self.reader.is_in_body() {
                true => BODY_READ_BYTES,
                false => READ_BYTES,
            };
            self.reader.buffer().reserve(read_bytes);
            tokio::select! {
                biased;
                Some(ready) = self.pending.next(), if !is_quiet => {
                    if !self.write(ready).await {
                        return;
                    }
                }
                readable = self.stream.readable(), if can_read => {
                    let read = readable.and_then(|()| self.stream.try_read_buf(self.reader.buffer()));
                    match read {
                        Ok(n) if n > 0 => {
                            self.last_activity = self.ingress.now();
                            self.connection.record_progress(self.last_activity, n);
                        }
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                        _ => return,
                    }
                }
                // Nothing is read any more, so a client whose request crosses the close may repeat it.
                () = closed_idle, if is_idle => return,
                () = self.connection.given_up(), if is_quiet => return self.give_up(),
                () = clock.sleep_until(self.ingress.now() + MEMORY_RETRY_INTERVAL), if waits_for_memory => {}
                () = ending.cancelled(), if is_quiet => return self.refuse().await,
                () = clock.sleep_until(deadline), if is_quiet => return self.time_out().await,
            }
        }
    }

    fn limits(&self) -> RequestLimits {
        let table = self.ingress.table.load();
        table
            .as_ref()
            .map_or_else(RequestLimits::default, |t| t.document().limits)
    }

    /// Time at which the connection is closed if the client sends nothing more. A body may take as long as it goes on.
    fn read_deadline(&self) -> Instant {
        let limits = self.limits();
        match self.request_started.filter(|_| !self.reader.is_in_body()) {
            Some(started) => started + limits.head_timeout,
            None => self.last_activity + limits.idle_timeout,
        }
    }

    /// Starts the requests that have arrived, as far as they may be in flight at the same time.
    fn start_requests(&mut self) {
        let limits = self.limits();
        let limits = ReaderLimits {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
        };
        while self.is_accepting && self.pending.len() < MAX_PIPELINED {
            if self.pending.is_empty() {
                self.is_exclusive = false;
            } else if self.ingress.stopping.is_cancelled() {
                // A client that always has another request in flight would otherwise keep its
                // connection open until the process is killed.
                return;
            }
            let deferred = self.deferred.take();
            let next = match deferred {
                Some(req) => Ok(Some(req)),
                None if self.is_exclusive => return,
                None => self.read_request(&limits),
            };
            match next {
                Ok(Some(req)) => {
                    if !self.start_request(req) {
                        return;
                    }
                }
                Ok(None) => break,
                Err(fault) => {
                    self.reader.abandon();
                    self.push_gateway_response(GatewayResponse::Faulty(fault), true);
                    return;
                }
            }
        }
        self.request_started = match self.reader.has_partial_request() && self.pending.is_empty() {
            true => self.request_started.or(Some(self.last_activity)),
            false => None,
        };
    }

    fn read_request(&mut self, limits: &ReaderLimits) -> Result<Option<Request>, RequestError> {
        let next = self.reader.next(limits)?;
        if let Some(req) = &next {
            self.has_request = true;
            self.idle_from = self.ingress.now();
            let id = self.ingress.protocol.request_id(&req.headers);
            self.connection.add_request(id.unwrap_or_default());
        }
        Ok(next)
    }

    /// Starts a request. Returns false if it is deferred until earlier ones are complete.
    fn start_request(&mut self, req: Request) -> bool {
        let close = req.wants_close();
        if self.ingress.ending.is_cancelled() {
            self.push_gateway_response(GatewayResponse::Ending, true);
            return true;
        }
        let Some(table) = self.ingress.table.load_full() else {
            self.push_gateway_response(GatewayResponse::NotReady, close);
            return true;
        };
        let version = table.document().version;
        if let Err(refusal) = self.origin.check_document(&req.headers, version) {
            self.push_gateway_response(refusal, close);
            return true;
        }
        let host = req.headers.get_str("host").unwrap_or_default();
        let Some(route) = table.find(host, req.target()).cloned() else {
            self.push_gateway_response(GatewayResponse::NoRoute, close);
            return true;
        };
        if route.kind == RouteKind::AtMostOnce {
            if !self.pending.is_empty() {
                self.deferred = Some(req);
                return false;
            }
            self.is_exclusive = true;
        }
        let helped = match self.origin.admit(&self.ingress) {
            Ok(helped) => helped,
            Err(refusal) => {
                self.push_gateway_response(refusal, close);
                return true;
            }
        };
        self.owes_sign = helped.is_some();
        let is_head = &req.method[..] == b"HEAD";
        let ingress = Arc::clone(&self.ingress);
        let now = ingress.now();
        let disconnected = self.disconnected.clone();
        let response = forward(ingress, req, route, now, disconnected, self.origin);
        self.push(async move {
            let _helped = helped;
            ReadyResponse {
                response: response.await,
                is_head,
                close,
            }
        });
        self.is_accepting &= !close;
        true
    }

    pub(super) fn push_gateway_response(&mut self, response: GatewayResponse, close: bool) {
        let response = ClientResponse::Gateway(response);
        let close = close || response.must_close();
        self.is_accepting &= !close;
        self.push(async move {
            ReadyResponse {
                response,
                is_head: false,
                close,
            }
        });
    }

    fn push(&mut self, response: impl Future<Output = ReadyResponse> + Send + 'static) {
        self.pending.push_back(Box::pin(response));
    }
}

/// Waits until a connection that is idle at that time is to be closed, as the gateway stops and the kernel has sent
/// the last response.
async fn close_idle(
    closing_idle: &CancellationToken,
    clock: &HostClock,
    idle_from: Instant,
    stream: &TcpStream,
) {
    closing_idle.cancelled().await;
    clock.sleep_until(idle_from).await;
    wait_until_sent(stream).await;
}
