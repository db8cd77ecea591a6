//! The byte stream of a caller's connection, below HTTP.
//!
//! The HTTP library responds to a request head that it cannot parse with a status and no body, and
//! closes the connection of a sender that is too slow without a response. This layer sends a
//! problem in both cases. Before the connection is closed, received bytes are discarded until the
//! response is sent and the caller has closed its side, see [`LingeringClose`].

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
    connection_state::ConnectionState, lingering_close::LingeringClose, metrics::UnadmittedReason,
    raw_response::RawResponse,
};

/// First bytes of the HTTP/2 connection preface.
const HTTP2_PREFACE: &[u8] = b"PRI";

/// Limits of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionLimits {
    /// Time from the first byte of a request head to its end.
    pub(super) head_timeout: Duration,
    /// Time that a connection may stay open without a request.
    pub(super) idle_timeout: Duration,
    /// Largest request head, in bytes.
    pub(super) max_head_bytes: usize,
}

/// What the timer of a connection limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// Time until the first byte of a request.
    Request,
    /// Time until a begun head is complete.
    RestOfHead,
}

/// A caller's TCP connection with timeouts on request heads and idle time.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
    limits: ConnectionLimits,
    http2: Option<bool>,
    wait: Option<Wait>,
    timer: Pin<Box<Sleep>>,
    pending: Bytes,
    closing: LingeringClose,
    ended: bool,
}

impl CallerStream {
    pub(super) fn new(
        stream: TcpStream,
        state: Arc<ConnectionState>,
        limits: ConnectionLimits,
    ) -> Self {
        Self {
            stream,
            state,
            limits,
            http2: None,
            wait: None,
            timer: Box::pin(sleep(limits.idle_timeout)),
            pending: Bytes::new(),
            closing: LingeringClose::default(),
            ended: false,
        }
    }

    fn record_read(&mut self, read: &[u8]) {
        if read.is_empty() {
            return;
        }
        self.http2.get_or_insert(read.starts_with(HTTP2_PREFACE));
        self.state.record_received();
    }

    /// Closes the connection when its idle or head timeout is over. HTTP/2 connections and ones
    /// with an open request have no such timeout.
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
            let response = RawResponse::head_too_slow(self.limits.head_timeout);
            UnadmittedReason::SlowHead.count();
            let _ = Pin::new(&mut self.stream).poll_write(cx, &response.bytes());
        }
        let _ = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.ended = true;
        Poll::Ready(Ok(()))
    }

    fn poll_wait(&mut self, cx: &mut Context<'_>, wait: Wait) -> Poll<()> {
        if self.wait != Some(wait) {
            let limit = match wait {
                Wait::Request => self.limits.idle_timeout,
                Wait::RestOfHead => self.limits.head_timeout,
            };
            self.timer.as_mut().reset(Instant::now() + limit);
            self.wait = Some(wait);
        }
        self.timer.as_mut().poll(cx)
    }

    /// The response that replaces a status without a body from the HTTP library.
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
        Some(RawResponse::unreadable_head(status, self.limits.max_head_bytes).bytes())
    }

    fn poll_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.pending.is_empty() {
            let n = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.pending))?;
            self.pending.advance(n);
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
                self.record_read(&buf.filled()[before..]);
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
        if let Some(response) = self.replacement(buf) {
            self.pending = response;
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
        if let Some(response) = self.replacement(first) {
            self.pending = response;
            return Poll::Ready(Ok(first.len()));
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.state.record_sent();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(cx))?;
        let this = &mut *self;
        if !this.closing.has_begun() {
            this.state.begin_closing();
        }
        let closed = this.closing.poll_close(cx, &mut this.stream);
        if this.closing.is_sent() {
            this.state.record_sent();
        }
        closed
    }
}
