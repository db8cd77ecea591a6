//! Connections between gateways and endpoints, for the case in which some of them stop carrying
//! data without being closed.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::routing::ConnectionProgress;

/// Probability that an open connection goes silent.
const SILENT_SHARE: f64 = 1.0 / 3.0;

/// One open connection.
#[derive(Clone, Debug)]
struct Connection {
    is_silent: bool,
    /// `None` while the connection is idle.
    attempt: Option<usize>,
    progress: ConnectionProgress,
}

/// Connections of one gateway to one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    open: Vec<Connection>,
    /// Latest send time of a completed attempt; `None` before the first.
    last_completed_sent: Option<Instant>,
}

/// The connection that an attempt is sent on.
#[derive(Clone, Copy, Debug)]
pub struct AssignedConnection {
    /// Whether it had to be opened.
    pub is_new: bool,
    /// Whether it carries no data.
    pub is_silent: bool,
}

impl Connections {
    /// Assigns an attempt the idle connection opened last, or a new one.
    pub fn assign(&mut self, now: Instant, attempt: usize) -> AssignedConnection {
        let idle = self.open.iter().rposition(|c| c.attempt.is_none());
        let is_new = idle.is_none();
        let i = idle.unwrap_or_else(|| {
            self.open.push(Connection {
                is_silent: false,
                attempt: None,
                progress: ConnectionProgress::new(now),
            });
            self.open.len() - 1
        });
        let connection = &mut self.open[i];
        connection.attempt = Some(attempt);
        connection.progress.record_request(now);
        AssignedConnection {
            is_new,
            is_silent: connection.is_silent,
        }
    }

    /// Records that the response to an attempt sent at `sent` is complete.
    pub fn record_response(&mut self, now: Instant, attempt: usize, sent: Instant) {
        if let Some(c) = self.open.iter_mut().find(|c| c.attempt == Some(attempt)) {
            c.attempt = None;
            c.progress.record_response(now);
        }
        self.last_completed_sent = self.last_completed_sent.max(Some(sent));
    }

    /// Closes the connection of a cancelled attempt.
    pub fn close(&mut self, attempt: usize) {
        self.open.retain(|c| c.attempt != Some(attempt));
    }

    /// Makes a random share of the open connections silent.
    pub fn silence(&mut self, rng: &mut Pcg64Mcg) {
        for connection in &mut self.open {
            connection.is_silent |= rng.random_bool(SILENT_SHARE);
        }
    }

    /// Attempts on connections that the gateway considers stalled.
    pub fn stalled_attempts(&self, now: Instant, mean_latency: Duration) -> Vec<usize> {
        let last = self.last_completed_sent;
        let is_stalled = |c: &&Connection| c.progress.is_stalled(now, mean_latency, last);
        self.open
            .iter()
            .filter(is_stalled)
            .filter_map(|c| c.attempt)
            .collect()
    }
}
