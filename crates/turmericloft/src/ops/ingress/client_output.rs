//! Writes the responses on a client's connection, and closes it.

use std::{io, time::Duration};

use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};

use super::{
    client::{ClientStream, ReadyResponse},
    client_response::{ClientResponse, GatewayResponse},
    connection_stage::ConnectionStage,
    metrics::count_discarded_bytes,
};
use crate::{
    core::{drain::transfer_timeout, memory::ActivityKind},
    sources::{http1::Message, send_buffer::wait_until_sent},
};

/// Time within which a client has to take some bytes, and all of a message, beside the time that its bytes take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a client's remaining bytes are read after the write side is shut down, beside the time that the bytes
/// of the last response take. Closing at once would send a reset, which can discard that response at the client.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which the rest of a refused request is read, as long as it goes on.
const CUT_SHORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that are read at a time without being kept.
const DISCARD_BYTES: usize = 16 << 10;

impl ClientStream {
    /// Writes a response. Returns false if the connection is closed.
    pub(super) async fn write(&mut self, ready: ReadyResponse) -> bool {
        let is_last = self.pending.is_empty() && self.deferred.is_none();
        // The client retries on another connection what arrived after the request that closes this
        // one.
        let is_stopping = is_last && self.ingress.stopping.is_cancelled();
        let close = ready.close || ready.response.must_close() || is_stopping;
        let marker = self.origin.marker(&ready.response);
        let message = ready.response.marked_message(ready.is_head, close, marker);
        // The rest of a request that was not read is on its way.
        let is_cut_short = ready.response.must_close();
        let (now, held) = (self.ingress.now(), message.len());
        let stage = ConnectionStage::Writing;
        self.connection
            .record_activity(now, stage, ActivityKind::Writing, held);
        if self.write_message(&message).await.is_err() {
            return false;
        }
        self.connection.record_written();
        self.last_activity = self.ingress.now();
        let written = message.len();
        // Their memory is free for other responses while the client is waited for.
        drop((message, ready));
        if close {
            self.shut_down(written, is_cut_short).await;
        }
        !close
    }

    /// Writes a message, unless the client does not take it in time.
    pub(super) async fn write_message(&mut self, message: &Message) -> io::Result<()> {
        let limit = transfer_timeout(WRITE_TIMEOUT, message.len());
        timeout(limit, self.write_parts(message)).await?
    }

    async fn write_parts(&mut self, message: &Message) -> io::Result<()> {
        let mut written = 0;
        while written < message.len() {
            self.connection.record_writing(message.len() - written);
            let writing = timeout(WRITE_TIMEOUT, message.write_some(written, &mut self.stream));
            let n = tokio::select! {
                biased;
                n = writing => n??,
                () = self.connection.given_up() => return Err(io::ErrorKind::ConnectionAborted.into()),
            };
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            written += n;
            let now = self.ingress.now();
            self.connection.record_progress(now, n);
        }
        Ok(())
    }

    /// Closes the connection at once, to make room for others. A client that has sent part of a request is told that it is not taken.
    pub(super) fn give_up(&mut self) {
        if !self.reader.has_partial_request() {
            return;
        }
        let message = ClientResponse::Gateway(GatewayResponse::TooSlow).message(false, true);
        // The kernel has room for it: nothing else is being written.
        let _ = self.stream.try_write(&message.to_bytes());
    }

    /// Closes the connection after a timeout. A client that has sent part of a request gets a
    /// response first; an idle one does not.
    pub(super) async fn time_out(&mut self) {
        self.close_with(GatewayResponse::TooSlow).await;
    }

    /// Closes the connection, as the process is about to end. A client that has sent part of a request is told that
    /// it is not taken.
    pub(super) async fn refuse(&mut self) {
        self.close_with(GatewayResponse::Ending).await;
    }

    async fn close_with(&mut self, response: GatewayResponse) {
        if !self.reader.has_partial_request() {
            // The connection is dropped even if the client reads nothing.
            tokio::select! {
                _ = timeout(WRITE_TIMEOUT, wait_until_sent(&self.stream)) => {}
                () = self.connection.given_up() => {}
            }
            return;
        }
        let message = ClientResponse::Gateway(response).message(false, true);
        self.reader.abandon();
        if self.write_message(&message).await.is_ok() {
            self.shut_down(message.len(), true).await;
        }
    }

    /// Closes the write side after `unconfirmed` bytes, and waits until the client closes its side: it has all bytes
    /// then. If a request `is_cut_short`, its client may still be writing it, and reads the response only afterwards.
    async fn shut_down(&mut self, unconfirmed: usize, is_cut_short: bool) {
        let (now, stage) = (self.ingress.now(), ConnectionStage::Closing);
        self.connection
            .record_activity(now, stage, ActivityKind::Closing, 0);
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let taking = transfer_timeout(LINGER_TIMEOUT, unconfirmed);
        let limit = match is_cut_short {
            true => taking.max(CUT_SHORT_TIMEOUT),
            false => taking,
        };
        // The connection is dropped even if the client keeps its side open.
        tokio::select! {
            _ = timeout(limit, discard(&self.stream, taking)) => {}
            () = self.connection.given_up() => {}
        }
    }
}

/// Reads what the client still sends, until it closes its side or sends nothing for `pause`.
async fn discard(stream: &TcpStream, pause: Duration) {
    loop {
        match timeout(pause, stream.readable()).await {
            Ok(Ok(())) => {}
            _ => return,
        }
        match discard_some(stream) {
            Ok(n @ 1..) => count_discarded_bytes(n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

/// Reads some bytes without keeping them. The buffer is not part of a task.
fn discard_some(stream: &TcpStream) -> io::Result<usize> {
    let mut buf = [0; DISCARD_BYTES];
    stream.try_read(&mut buf)
}
