//! Closing a caller's connection without losing what was written to it.
//!
//! A successful write only means that the kernel holds the bytes. If a socket is closed while
//! received bytes are unread, or bytes arrive afterwards, the kernel resets the connection and
//! discards what it has not sent: pipelined requests or HTTP/2 window updates of a slow reader
//! would cut off its response.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::sources::send_buffer::{poll_sent, report_writable_when_sent};

/// Time that a caller has to close its side after everything was sent. It covers a retransmission
/// of the last bytes.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes per read while lingering.
const LINGER_READ_BYTES: usize = 8 << 10;
/// Most bytes that are discarded before the connection is closed.
const MAX_LINGER_BYTES: usize = 16 << 20;

/// Progress of closing a connection.
#[derive(Debug, Default)]
pub(super) struct LingeringClose {
    phase: Phase,
    discarded: usize,
    /// Whether the caller has closed its side, or its input is no longer read.
    input_ended: bool,
}

#[derive(Debug, Default)]
enum Phase {
    /// The connection is in use.
    #[default]
    Open,
    /// The kernel still has bytes to send.
    Sending,
    /// Everything is sent, and the end of the response too; the caller has to close its side.
    AwaitingCaller(Pin<Box<Sleep>>),
    /// Nothing is owed to the caller.
    Closed,
}

impl LingeringClose {
    /// Whether the connection is being closed or is closed.
    pub(super) fn has_begun(&self) -> bool {
        !matches!(self.phase, Phase::Open)
    }

    /// Whether the kernel has sent everything that was written.
    pub(super) fn is_sent(&self) -> bool {
        matches!(self.phase, Phase::AwaitingCaller(_) | Phase::Closed)
    }

    /// Waits until the kernel has sent everything, shuts down the writing side, and waits until
    /// the caller closes its side, at most for [`LINGER`]. Received bytes are discarded meanwhile.
    ///
    /// There is no limit on the time to send, as there is none while a response is written: a
    /// reader may be slow, and the kernel ends the connection to one that is gone.
    pub(super) fn poll_close(
        &mut self,
        cx: &mut Context<'_>,
        stream: &mut TcpStream,
    ) -> Poll<io::Result<()>> {
        loop {
            self.discard_input(cx, stream);
            self.phase = match &mut self.phase {
                Phase::Open => {
                    report_writable_when_sent(stream);
                    Phase::Sending
                }
                Phase::Sending => {
                    ready!(poll_sent(cx, stream))?;
                    ready!(Pin::new(&mut *stream).poll_shutdown(cx))?;
                    Phase::AwaitingCaller(Box::pin(sleep(LINGER)))
                }
                Phase::AwaitingCaller(limit) => {
                    if !self.input_ended {
                        ready!(limit.as_mut().poll(cx));
                    }
                    Phase::Closed
                }
                Phase::Closed => return Poll::Ready(Ok(())),
            };
        }
    }

    fn discard_input(&mut self, cx: &mut Context<'_>, stream: &mut TcpStream) {
        while !self.input_ended {
            let mut scratch = [0; LINGER_READ_BYTES];
            let mut buf = ReadBuf::new(&mut scratch);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.discarded += buf.filled().len();
                    self.input_ended = self.discarded >= MAX_LINGER_BYTES;
                }
                Poll::Ready(_) => self.input_ended = true,
                Poll::Pending => return,
            }
        }
    }
}
