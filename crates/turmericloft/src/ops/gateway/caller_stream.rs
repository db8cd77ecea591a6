//! A caller's connection, below HTTP.
//!
//! The HTTP library answers a head that it cannot read with a bare status and drops a sender
//! that is too slow without an answer. This layer gives both a problem as their answer, and
//! keeps the connection readable for a while after a refusal, so that the answer is not lost to
//! a reset.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes};
use http::StatusCode;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

use super::{
    connection_state::ConnectionState, metrics::UnadmittedReason, raw_response::RawResponse,
};

/// First bytes of a connection that speaks HTTP/2.
const HTTP2_PREFACE: &[u8] = b"PRI";
/// Time after a refusal in which further bytes are read and dropped.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes read at once while lingering.
const LINGER_READ_BYTES: usize = 8 << 10;
/// Bytes read and dropped after a refusal, at most.
const LINGER_BYTES: usize = 16 << 20;

/// How long a caller may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerLimits {
    /// Time from the first byte of a head to its end.
    pub(super) head: Duration,
    /// Time without a request.
    pub(super) idle: Duration,
    /// Largest head, in bytes.
    pub(super) head_bytes: usize,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    Request,
    RestOfHead,
    Drained,
}

/// A caller's connection.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
    limits: CallerLimits,
    http2: Option<bool>,
    wait: Option<Wait>,
    timer: Pin<Box<Sleep>>,
    pending: Bytes,
    drained: usize,
    ended: bool,
}

impl CallerStream {
    pub(super) fn new(
        stream: TcpStream,
        state: Arc<ConnectionState>,
        limits: CallerLimits,
    ) -> Self {
        Self {
            stream,
            state,
            limits,
            http2: None,
            wait: None,
            timer: Box::pin(sleep(limits.idle)),
            pending: Bytes::new(),
            drained: 0,
            ended: false,
        }
    }

    fn note_read(&mut self, read: &[u8]) {
        if read.is_empty() {
            return;
        }
        self.http2.get_or_insert(read.starts_with(HTTP2_PREFACE));
        self.state.record_received();
    }

    /// Ends the connection if what it waits for takes too long.
    fn poll_limit(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let wait = match (self.http2, self.state.is_idle()) {
            (Some(true), _) | (_, false) => {
                self.wait = None;
                return Poll::Pending;
            }
            _ if self.state.has_partial_head() => Wait::RestOfHead,
            _ => Wait::Request,
        };
        ready!(self.poll_wait(cx, wait));
        if wait == Wait::RestOfHead {
            let answer = RawResponse::head_too_slow(self.limits.head);
            UnadmittedReason::SlowHead.count();
            let _ = Pin::new(&mut self.stream).poll_write(cx, &answer.bytes());
        }
        let _ = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.ended = true;
        Poll::Ready(Ok(()))
    }

    fn poll_wait(&mut self, cx: &mut Context<'_>, wait: Wait) -> Poll<()> {
        if self.wait != Some(wait) {
            let limit = match wait {
                Wait::Request => self.limits.idle,
                Wait::RestOfHead => self.limits.head,
                Wait::Drained => LINGER,
            };
            self.timer.as_mut().reset(Instant::now() + limit);
            self.wait = Some(wait);
        }
        self.timer.as_mut().poll(cx)
    }

    /// The answer to put in place of a bare status that the HTTP library writes.
    fn replacement(&self, written: &[u8]) -> Option<Bytes> {
        if !self.state.is_idle() || self.http2 == Some(true) {
            return None;
        }
        let status = RawResponse::bare_status(written)?;
        if status == StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE {
            UnadmittedReason::LargeHead.count();
        } else {
            UnadmittedReason::Malformed.count();
        }
        self.state.set_rejected(true);
        Some(RawResponse::unreadable_head(status, self.limits.head_bytes).bytes())
    }

    fn poll_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.pending.is_empty() {
            let n = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.pending))?;
            self.pending.advance(n);
        }
        Poll::Ready(Ok(()))
    }

    /// Reads and drops what a refused caller still sends.
    fn poll_drained(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.drained < LINGER_BYTES {
            let mut scratch = [0; LINGER_READ_BYTES];
            let mut buf = ReadBuf::new(&mut scratch);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.drained += buf.filled().len();
                }
                Poll::Ready(_) => break,
                Poll::Pending => return self.poll_wait(cx, Wait::Drained).map(Ok),
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ended {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(result) => {
                self.note_read(&buf.filled()[before..]);
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_limit(cx),
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_pending(cx))?;
        if let Some(answer) = self.replacement(buf) {
            self.pending = answer;
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_pending(cx))?;
        let first = bufs.first().map_or(&[] as &[u8], |buf| buf);
        if let Some(answer) = self.replacement(first) {
            self.pending = answer;
            return Poll::Ready(Ok(first.len()));
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if self.state.is_rejected() {
            return self.poll_drained(cx);
        }
        Poll::Ready(Ok(()))
    }
}
