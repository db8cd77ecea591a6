//! What a client's connection does, and the memory that its requests take while they arrive.

use std::time::Duration;

use super::{
    client::ClientStream, client_response::GatewayResponse, connection_stage::ConnectionStage,
    metrics::count_refused_request,
};
use crate::core::memory::ActivityKind;

/// Bytes that are buffered without memory of their own: the connection has taken them.
const FREE_READ_AHEAD_BYTES: usize = 16 << 10;
/// Time that a request waits for memory that others are to give up.
const MEMORY_WAIT: Duration = Duration::from_millis(200);

impl ClientStream {
    /// Records what the connection is in the middle of.
    pub(super) fn record_activity(&mut self, is_quiet: bool, is_idle: bool) {
        let (stage, kind) = match (is_quiet, is_idle) {
            (false, _) => (ConnectionStage::Responding, ActivityKind::Serving),
            (true, true) if self.has_request => (ConnectionStage::Idle, ActivityKind::Idle),
            (true, true) => (ConnectionStage::Idle, ActivityKind::Unused),
            (true, false) if self.reader.is_in_body() => {
                (ConnectionStage::Receiving, ActivityKind::PartialBody)
            }
            (true, false) => (ConnectionStage::Receiving, ActivityKind::PartialHead),
        };
        let held = self.reader.held_bytes() + self.read_ahead.bytes();
        let now = self.last_activity;
        self.connection.record_activity(now, stage, kind, held);
    }

    /// Takes memory for what is buffered beyond what the connection has taken. Returns whether more may be read.
    pub(super) fn take_read_ahead(&mut self, unread: usize) -> bool {
        if unread < FREE_READ_AHEAD_BYTES {
            self.read_ahead.shrink_to(0);
            return true;
        }
        // The buffer moves to a larger one as it grows.
        self.read_ahead.try_grow_to(2 * unread)
    }

    /// Whether there is no memory for the request that is being read, and none is to be expected soon.
    pub(super) fn lacks_memory(&mut self) -> bool {
        if self.reader.missing_memory().is_none() {
            self.waits_for_memory = None;
            return false;
        }
        let now = self.ingress.now();
        let since = *self.waits_for_memory.get_or_insert(now);
        !self.reader.reclaim_memory() || now.saturating_duration_since(since) >= MEMORY_WAIT
    }

    /// Ends the connection after a response that says that there is no memory for the request that is being read.
    pub(super) fn refuse_for_memory(&mut self) {
        self.waits_for_memory = None;
        count_refused_request();
        let missing = self.reader.missing_memory().unwrap_or_default();
        self.ingress.log.write_line(
            self.ingress.now(),
            "request refused; no memory is left for it",
            format_args!("missing_bytes={missing}"),
        );
        self.reader.abandon();
        self.push_gateway_response(GatewayResponse::NoMemory, true);
    }
}
