//! Writes the responses on a client's connection, and closes it.

use std::{io, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::timeout,
};

use super::{
    client::{ClientStream, ReadyResponse},
    client_response::{ClientResponse, GatewayResponse},
    connection_stage::ConnectionStage,
    metrics::count_discarded_bytes,
};
use crate::{core::drain::transfer_timeout, sources::send_buffer::wait_until_sent};

/// Time within which a client has to take some bytes, and all of a message, beside the time that its bytes take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a client's remaining bytes are read after the write side is shut down, beside the time that the bytes
/// of the last response take. Closing at once would send a reset, which can discard that response at the client.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

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
        if self.write_message(&message).await.is_err() {
            return false;
        }
        self.connection.record_written();
        self.last_activity = self.ingress.now();
        let written = message.len();
        // Their memory is free for other responses while the client is waited for.
        drop((message, ready));
        if close {
            self.shut_down(written).await;
        }
        !close
    }

    /// Writes a message, unless the client does not take it in time.
    pub(super) async fn write_message(&mut self, message: &[u8]) -> io::Result<()> {
        let limit = transfer_timeout(WRITE_TIMEOUT, message.len());
        timeout(limit, self.write_bytes(message)).await?
    }

    async fn write_bytes(&mut self, message: &[u8]) -> io::Result<()> {
        let mut rest = message;
        while !rest.is_empty() {
            self.connection.record_writing(rest.len());
            match timeout(WRITE_TIMEOUT, self.stream.write(rest)).await?? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                n => rest = &rest[n..],
            }
        }
        Ok(())
    }

    /// Closes the connection after a timeout. A client that has sent part of a request gets a
    /// response first; an idle one does not.
    pub(super) async fn time_out(self) {
        self.close_with(GatewayResponse::TooSlow).await;
    }

    /// Closes the connection, as the process is about to end. A client that has sent part of a request is told that
    /// it is not taken.
    pub(super) async fn refuse(self) {
        self.close_with(GatewayResponse::Ending).await;
    }

    async fn close_with(mut self, response: GatewayResponse) {
        if !self.reader.has_partial_request() {
            // The connection is dropped even if the client reads nothing.
            let _ = timeout(WRITE_TIMEOUT, wait_until_sent(&self.stream)).await;
            return;
        }
        let message = ClientResponse::Gateway(response).message(false, true);
        if self.write_message(&message).await.is_ok() {
            self.shut_down(message.len()).await;
        }
    }

    /// Closes the write side after `unconfirmed` bytes, and waits until the client closes its side: it has all bytes
    /// then.
    async fn shut_down(&mut self, unconfirmed: usize) {
        self.connection.set_stage(ConnectionStage::Closing);
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let discard = async {
            let mut rest = [0; 1024];
            while let Ok(n @ 1..) = self.stream.read(&mut rest).await {
                count_discarded_bytes(n);
            }
        };
        // The connection is dropped even if the client keeps its side open.
        let _ = timeout(transfer_timeout(LINGER_TIMEOUT, unconfirmed), discard).await;
    }
}
