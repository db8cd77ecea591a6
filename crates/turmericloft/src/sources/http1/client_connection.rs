//! A connection to a server, for one request at a time.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::{ExchangeError, ExchangeStep, Response, ResponseError, ResponseReader};

/// Largest body of a response that is held, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Idle time after which the other end is asked for a sign of life; the shortest that there is. A
/// connection that went silent without a reset is found by nothing else.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Signs that may stay out before the connection is given up.
const KEEPALIVE_RETRIES: u32 = 2;
/// Room for a response's first bytes.
const READ_BYTES: usize = 4 << 10;

/// An open connection with no request under way.
#[derive(Debug)]
pub struct ClientConnection {
    peer: SocketAddr,
    stream: TcpStream,
    buf: BytesMut,
    /// When its last response was whole, or when it was opened.
    pub idle_since: Instant,
    /// How long the server keeps it open when idle, if it told.
    pub keep_alive_timeout: Option<Duration>,
    /// Whether it carried a request before.
    pub is_reused: bool,
}

impl ClientConnection {
    /// Connects within `limit`. Packets that stay unacknowledged for `unacknowledged` end the
    /// connection.
    pub async fn open(
        peer: SocketAddr,
        limit: Duration,
        unacknowledged: Duration,
    ) -> Result<Self, ExchangeError> {
        let unsent = |source| ExchangeError::Io {
            peer,
            step: ExchangeStep::Unsent,
            source,
        };
        let stream = match timeout(limit, TcpStream::connect(peer)).await {
            Ok(stream) => stream.map_err(unsent)?,
            Err(_) => return Err(unsent(io::ErrorKind::TimedOut.into())),
        };
        stream.set_nodelay(true).map_err(unsent)?;
        let socket = SockRef::from(&stream);
        socket
            .set_tcp_user_timeout(Some(unacknowledged))
            .map_err(unsent)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE)
            .with_retries(KEEPALIVE_RETRIES);
        socket.set_tcp_keepalive(&keepalive).map_err(unsent)?;
        Ok(Self {
            peer,
            stream,
            buf: BytesMut::new(),
            idle_since: tokio::time::Instant::now().into_std(),
            keep_alive_timeout: None,
            is_reused: false,
        })
    }

    /// Gives back the room for responses, which an idle connection does not need.
    pub fn release_buffer(&mut self) {
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
    }

    /// Whether nothing has arrived since the last response: neither an end nor stray bytes.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buf.is_empty() && matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads responses until `belongs` accepts one; others are left over from
    /// earlier requests. A response that comes before the request was written whole leaves the
    /// connection unusable.
    pub async fn exchange(
        &mut self,
        method: &[u8],
        message: &[u8],
        mut belongs: impl FnMut(&Response) -> bool,
    ) -> Result<Response, ExchangeError> {
        let peer = self.peer;
        let sent = |source| ExchangeError::Io {
            peer,
            step: ExchangeStep::Sent,
            source,
        };
        let mut written = match self.stream.try_write(message) {
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
        let mut reader = ResponseReader::new(method, MAX_BODY_BYTES);
        let broken = |source| ExchangeError::Response { peer, source };
        loop {
            self.buf.reserve(READ_BYTES);
            let read = tokio::select! {
                n = wr.write(&message[written..]), if written < message.len() => {
                    written += n.map_err(sent)?;
                    continue;
                }
                n = rd.read_buf(&mut self.buf) => n.map_err(sent)?,
            };
            if read == 0 {
                let response = reader.finish().map_err(broken)?;
                if belongs(&response) {
                    return Ok(response);
                }
                return Err(broken(ResponseError::Truncated));
            }
            while let Some(mut response) = reader.next(&mut self.buf).map_err(broken)? {
                if !belongs(&response) {
                    reader = ResponseReader::new(method, MAX_BODY_BYTES);
                    continue;
                }
                response.can_reuse_connection &= written == message.len() && self.buf.is_empty();
                return Ok(response);
            }
        }
    }
}
