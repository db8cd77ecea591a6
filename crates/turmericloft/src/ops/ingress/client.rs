//! One connection of a client.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesOrdered};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep_until, timeout},
};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{
    client_response::{ClientResponse, GatewayResponse},
    forward::forward,
    shared::Ingress,
};
use crate::{
    core::traffic::{RequestLimits, RouteKind},
    sources::http1::{ReaderLimits, Request, RequestReader},
};

/// Requests of one connection that are answered at the same time.
const MAX_PIPELINED: usize = 16;
/// Bytes read ahead of the requests that are being answered.
const MAX_READ_AHEAD: usize = 64 << 10;
/// Room for the next bytes of a client.
const READ_BYTES: usize = 4 << 10;
/// Time in which a client has to take some bytes of an answer.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// Time in which a client's last bytes are read after the connection was closed, so that the
/// answer is not lost to a reset.
const LINGER: Duration = Duration::from_millis(300);

struct Answered {
    answer: ClientResponse,
    head: bool,
    close: bool,
}

type Answering = Pin<Box<dyn Future<Output = Answered> + Send>>;

/// Serves one connection until either side closes it.
pub(super) async fn serve_client(ingress: Arc<Ingress>, stream: TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        log::warn!("a client's connection cannot be set up: {e}");
        return;
    }
    let gone = CancellationToken::new();
    let now = ingress.now();
    let connection = ClientStream {
        ingress,
        stream,
        reader: RequestReader::new(),
        answering: FuturesOrdered::new(),
        held: None,
        exclusive: false,
        accepts: true,
        last_byte: now,
        request_began: None,
        gone: gone.clone(),
        _leaves: gone.drop_guard(),
    };
    connection.serve().await;
}

struct ClientStream {
    ingress: Arc<Ingress>,
    stream: TcpStream,
    reader: RequestReader,
    answering: FuturesOrdered<Answering>,
    /// A request that waits for all earlier answers.
    held: Option<Request>,
    /// Whether the request that is being answered has to be alone.
    exclusive: bool,
    accepts: bool,
    last_byte: Instant,
    request_began: Option<Instant>,
    gone: CancellationToken,
    _leaves: DropGuard,
}

impl ClientStream {
    async fn serve(mut self) {
        let closing = self.ingress.closing.clone();
        loop {
            self.take_requests();
            if self.reader.take_continue() && self.answering.is_empty() {
                let sign = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                if sign.await.is_err() {
                    return;
                }
            }
            let quiet = self.answering.is_empty();
            let waits = quiet && !self.reader.is_within_request();
            let room = self.accepts && self.reader.buffer().len() < MAX_READ_AHEAD;
            let timer = self.give_up_at();
            self.reader.buffer().reserve(READ_BYTES);
            tokio::select! {
                biased;
                Some(answered) = self.answering.next(), if !quiet => {
                    if !self.write(answered).await {
                        return;
                    }
                }
                read = self.stream.read_buf(self.reader.buffer()), if room || !quiet => {
                    match read {
                        Ok(n) if n > 0 => self.last_byte = self.ingress.now(),
                        _ => return,
                    }
                }
                () = closing.cancelled(), if waits => return self.close().await,
                () = sleep_until(timer.into()), if quiet => return self.give_up().await,
            }
        }
    }

    fn limits(&self) -> RequestLimits {
        let table = self.ingress.table.load();
        table
            .as_ref()
            .map_or_else(RequestLimits::default, |t| t.document().limits)
    }

    /// When a client that sends nothing more is given up on.
    fn give_up_at(&self) -> Instant {
        let limits = self.limits();
        match self.request_began {
            Some(began) => began + limits.head_timeout,
            None => self.last_byte + limits.idle_timeout,
        }
    }

    /// Starts the requests that have arrived, as far as they may be answered at the same time.
    fn take_requests(&mut self) {
        let limits = self.limits();
        let limits = ReaderLimits {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
        };
        while self.accepts && self.answering.len() < MAX_PIPELINED {
            if self.answering.is_empty() {
                self.exclusive = false;
            } else if self.ingress.draining.is_cancelled() {
                // A client that always has one more under way would keep its connection to the end.
                return;
            }
            let held = self.held.take();
            let next = match held {
                Some(req) => Ok(Some(req)),
                None if self.exclusive => return,
                None => self.reader.next(&limits),
            };
            match next {
                Ok(Some(req)) => {
                    if !self.start(req) {
                        return;
                    }
                }
                Ok(None) => break,
                Err(fault) => {
                    self.push_own(GatewayResponse::Faulty(fault), true);
                    return;
                }
            }
        }
        self.request_began = match self.reader.is_within_request() && self.answering.is_empty() {
            true => self.request_began.or(Some(self.last_byte)),
            false => None,
        };
    }

    /// Starts a request; false if it has to wait for earlier ones.
    fn start(&mut self, req: Request) -> bool {
        let close = req.wants_close();
        let Some(table) = self.ingress.table.load_full() else {
            self.push_own(GatewayResponse::NotReady, close);
            return true;
        };
        let host = req.headers.text("host").unwrap_or_default();
        let Some(route) = table.find(host, req.target()).cloned() else {
            self.push_own(GatewayResponse::NoRoute, close);
            return true;
        };
        if route.kind == RouteKind::AtMostOnce {
            if !self.answering.is_empty() {
                self.held = Some(req);
                return false;
            }
            self.exclusive = true;
        }
        let head = &req.method[..] == b"HEAD";
        let ingress = Arc::clone(&self.ingress);
        let now = ingress.now();
        let answer = forward(ingress, req, route, now, self.gone.clone());
        self.push(async move {
            Answered {
                answer: answer.await,
                head,
                close,
            }
        });
        self.accepts &= !close;
        true
    }

    fn push_own(&mut self, own: GatewayResponse, close: bool) {
        let answer = ClientResponse::Gateway(own);
        let close = close || answer.must_close();
        self.accepts &= !close;
        self.push(async move {
            Answered {
                answer,
                head: false,
                close,
            }
        });
    }

    fn push(&mut self, answering: impl Future<Output = Answered> + Send + 'static) {
        self.answering.push_back(Box::pin(answering));
    }

    /// Writes an answer; false if the connection is over.
    async fn write(&mut self, answered: Answered) -> bool {
        let last = self.answering.is_empty() && self.held.is_none();
        // What arrived behind a closing answer is sent again by the client, elsewhere.
        let leaves = last && self.ingress.draining.is_cancelled();
        let close = answered.close || answered.answer.must_close() || leaves;
        let message = answered.answer.message(answered.head, close);
        let written = timeout(WRITE_LIMIT, self.stream.write_all(&message)).await;
        if !matches!(written, Ok(Ok(()))) {
            return false;
        }
        self.last_byte = self.ingress.now();
        if close {
            self.close_stream().await;
        }
        !close
    }

    /// A client that sent a part of a request is told; an idle one is not.
    async fn give_up(mut self) {
        if self.reader.is_within_request() {
            let message = ClientResponse::Gateway(GatewayResponse::TooSlow).message(false, true);
            if self.stream.write_all(&message).await.is_err() {
                return;
            }
        }
        self.close_stream().await;
    }

    async fn close(mut self) {
        self.close_stream().await;
    }

    async fn close_stream(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drained = async {
            let mut rest = [0; 1024];
            while matches!(self.stream.read(&mut rest).await, Ok(n) if n > 0) {}
        };
        // A client that keeps its side open is cut off.
        let _ = timeout(LINGER, drained).await;
    }
}
