//! Client side of an HTTP/1.1 connection, without pipelining.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::{sleep, timeout},
};

use super::{
    ConnectionHistory, ExchangeError, ExchangeStep, Message, Response, ResponseError,
    ResponseLimits, ResponseReader,
};

/// Maximum number of responses to other requests that are dropped before the expected one.
const MAX_UNEXPECTED: u32 = 4;
/// Idle time before the first TCP keepalive probe and interval between probes; one second is the
/// shortest that TCP allows. Nothing else detects an idle peer that vanished without a reset.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// How often a response for which there is no memory is tried again.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Buffer capacity reserved before each read, in bytes.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// An open connection with no request in flight.
#[derive(Debug)]
pub struct ClientConnection {
    peer: SocketAddr,
    stream: TcpStream,
    buf: BytesMut,
    /// When the last response was complete, or when the connection was opened.
    pub idle_since: Instant,
    /// How long the server keeps the connection open when idle, as set by the caller from the
    /// `Keep-Alive` header; `None` if the server did not say.
    pub keep_alive_timeout: Option<Duration>,
    /// What it has carried. The caller records requests and refusals.
    pub history: ConnectionHistory,
}

impl ClientConnection {
    /// Connects to `peer` within `connect_timeout`. The kernel closes the connection when sent data
    /// stays unacknowledged for `user_timeout` (`TCP_USER_TIMEOUT`).
    pub async fn open(
        peer: SocketAddr,
        connect_timeout: Duration,
        user_timeout: Duration,
    ) -> Result<Self, ExchangeError> {
        let unsent = |source| ExchangeError::Io {
            peer,
            step: ExchangeStep::Unsent,
            source,
        };
        let stream = match timeout(connect_timeout, TcpStream::connect(peer)).await {
            Ok(stream) => stream.map_err(unsent)?,
            Err(_) => return Err(unsent(io::ErrorKind::TimedOut.into())),
        };
        stream.set_nodelay(true).map_err(unsent)?;
        let socket = SockRef::from(&stream);
        socket
            .set_tcp_user_timeout(Some(user_timeout))
            .map_err(unsent)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&keepalive).map_err(unsent)?;
        Ok(Self {
            peer,
            stream,
            buf: BytesMut::new(),
            idle_since: tokio::time::Instant::now().into_std(),
            keep_alive_timeout: None,
            history: ConnectionHistory::default(),
        })
    }

    /// Sets the time for which sent data may stay unacknowledged before the kernel closes the connection
    /// (`TCP_USER_TIMEOUT`).
    pub fn set_user_timeout(&self, timeout: Duration) -> Result<(), ExchangeError> {
        let socket = SockRef::from(&self.stream);
        let set = socket.set_tcp_user_timeout(Some(timeout));
        set.map_err(|source| ExchangeError::Io {
            peer: self.peer,
            step: ExchangeStep::Unsent,
            source,
        })
    }

    /// Frees the read buffer if it is empty; an idle connection does not need it.
    pub fn release_buffer(&mut self) {
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
    }

    /// Whether the connection can carry another request: the server has neither closed it nor sent
    /// bytes after the last response.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buf.is_empty() && matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends the encoded request `message` and returns the first response that `is_expected`
    /// accepts; others belong to earlier requests and are dropped. If the response is complete
    /// before the request is fully written, it marks the connection as not reusable.
    pub async fn exchange(
        &mut self,
        method: &[u8],
        message: &Message,
        limits: &ResponseLimits,
        is_expected: impl FnMut(&Response) -> bool,
    ) -> Result<Response, ExchangeError> {
        self.exchange_with_heads(method, message, limits, is_expected, |_| {})
            .await
    }

    /// Like [`exchange`](Self::exchange). `on_truncated` gets the head of a response that ends before it is
    /// complete; whether the response is the expected one is not checked.
    pub async fn exchange_with_heads(
        &mut self,
        method: &[u8],
        message: &Message,
        limits: &ResponseLimits,
        is_expected: impl FnMut(&Response) -> bool,
        on_truncated: impl FnOnce(&Response),
    ) -> Result<Response, ExchangeError> {
        let mut reader = ResponseReader::new(method, limits.clone());
        let request = (method, message);
        let sending = self.send_and_read(&mut reader, request, limits, is_expected, || {});
        let result = sending.await;
        if let (Err(_), Some(head)) = (&result, reader.head()) {
            on_truncated(head);
        }
        result
    }

    /// Like [`exchange`](Self::exchange). `on_informational` is called when informational responses have arrived.
    pub async fn exchange_with_informational(
        &mut self,
        method: &[u8],
        message: &Message,
        limits: &ResponseLimits,
        is_expected: impl FnMut(&Response) -> bool,
        on_informational: impl FnMut(),
    ) -> Result<Response, ExchangeError> {
        let mut reader = ResponseReader::new(method, limits.clone());
        let request = (method, message);
        self.send_and_read(&mut reader, request, limits, is_expected, on_informational)
            .await
    }

    async fn send_and_read(
        &mut self,
        reader: &mut ResponseReader,
        (method, message): (&[u8], &Message),
        limits: &ResponseLimits,
        mut is_expected: impl FnMut(&Response) -> bool,
        mut on_informational: impl FnMut(),
    ) -> Result<Response, ExchangeError> {
        let peer = self.peer;
        let sent = |source| ExchangeError::Io {
            peer,
            step: ExchangeStep::Sent,
            source,
        };
        let begun = match &message.rest(0)[..] {
            [only] => self.stream.try_write(only),
            slices => self.stream.try_write_vectored(slices),
        };
        let mut written = match begun {
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => 0,
            Err(source) => {
                return Err(ExchangeError::Io {
                    peer,
                    step: ExchangeStep::Unsent,
                    source,
                });
            }
        };
        let (mut rd, mut wr) = self.stream.split();
        let mut unexpected = 0;
        let invalid = |source| ExchangeError::Response { peer, source };
        loop {
            self.buf.reserve(READ_BUFFER_BYTES);
            let awaits_memory = reader.awaits_memory();
            let read = tokio::select! {
                n = message.write_some(written, &mut wr), if written < message.len() => {
                    written += n.map_err(sent)?;
                    continue;
                }
                n = rd.read_buf(&mut self.buf), if !awaits_memory => Some(n.map_err(sent)?),
                () = sleep(MEMORY_RETRY_INTERVAL), if awaits_memory => None,
            };
            if read == Some(0) {
                let response = reader.finish().map_err(invalid)?;
                let is_own = is_expected(&response);
                self.history.record_response(response.status, is_own);
                if is_own {
                    return Ok(response);
                }
                return Err(invalid(ResponseError::Truncated));
            }
            let informational = reader.informational();
            while let Some(mut response) = reader.next(&mut self.buf).map_err(invalid)? {
                let is_own = is_expected(&response);
                self.history.record_response(response.status, is_own);
                if !is_own {
                    unexpected += 1;
                    if unexpected > MAX_UNEXPECTED {
                        return Err(invalid(ResponseError::Malformed));
                    }
                    *reader = ResponseReader::new(method, limits.clone());
                    continue;
                }
                response.can_reuse_connection &= written == message.len() && self.buf.is_empty();
                return Ok(response);
            }
            if reader.informational() > informational {
                on_informational();
            }
        }
    }
}
