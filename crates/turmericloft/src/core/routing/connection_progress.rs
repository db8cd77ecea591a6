//! Detects stalled connections: a request is outstanding, but no response bytes arrive.

use std::time::{Duration, Instant};

/// Receive progress of one connection, which carries one request at a time.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionProgress {
    pending_since: Option<Instant>,
    last_received: Instant,
}

impl ConnectionProgress {
    /// Minimum time without response bytes before a connection counts as stalled.
    pub const MIN_STALL: Duration = Duration::from_millis(50);
    /// Time without response bytes before a connection counts as stalled, in multiples of the mean
    /// latency.
    pub const STALL_LATENCIES: u32 = 4;

    /// Creates the state of a connection opened at `now`, without an outstanding request.
    pub fn new(now: Instant) -> Self {
        Self {
            pending_since: None,
            last_received: now,
        }
    }

    /// Records that a request was handed to the connection.
    pub fn record_request(&mut self, now: Instant) {
        self.pending_since = Some(now);
    }

    /// Records that bytes of a response arrived.
    pub fn record_bytes(&mut self, now: Instant) {
        self.last_received = now;
    }

    /// Records that the response is complete.
    pub fn record_response(&mut self, now: Instant) {
        self.last_received = now;
        self.pending_since = None;
    }

    /// When the outstanding request was sent; `None` if there is none.
    pub fn pending_since(&self) -> Option<Instant> {
        self.pending_since
    }

    /// Whether response bytes arrived, or the connection was opened, after `moment`.
    pub fn received_after(&self, moment: Instant) -> bool {
        self.last_received > moment
    }

    /// Time without response bytes after which a connection may be stalled.
    pub fn stall_limit(mean_latency: Duration) -> Duration {
        Self::MIN_STALL.max(mean_latency * Self::STALL_LATENCIES)
    }

    /// Whether the connection is stalled and should be closed.
    ///
    /// It is stalled if its response has made no progress for several times `mean_latency`, and
    /// another connection to the same endpoint completed a request that was sent after this one's.
    /// The second condition tells a broken connection from a slow endpoint. `last_completed_sent`
    /// is the latest send time of a completed request to the endpoint, `None` before the first.
    pub fn is_stalled(
        &self,
        now: Instant,
        mean_latency: Duration,
        last_completed_sent: Option<Instant>,
    ) -> bool {
        let Some(pending_since) = self.pending_since else {
            return false;
        };
        let idle = now.saturating_duration_since(self.last_received.max(pending_since));
        idle >= Self::stall_limit(mean_latency)
            && last_completed_sent.is_some_and(|sent| sent > pending_since)
    }
}
