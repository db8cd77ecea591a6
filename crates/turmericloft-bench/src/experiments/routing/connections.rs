//! Connections between gateways and endpoints, for the case in which some go silent.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::routing::ConnectionProgress;

/// Share of the open connections that go silent.
const SILENT_SHARE: f64 = 1.0 / 3.0;

/// One connection.
#[derive(Clone, Debug)]
struct Connection {
    silent: bool,
    attempt: Option<usize>,
    progress: ConnectionProgress,
}

/// Connections of one gateway to one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    open: Vec<Connection>,
    last_answered_sent: Option<Instant>,
}

/// Connection that an attempt was given.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    /// Whether it had to be made.
    pub new: bool,
    /// Whether nothing gets through.
    pub silent: bool,
}

impl Connections {
    /// Takes an idle connection, or makes one.
    pub fn take(&mut self, now: Instant, attempt: usize) -> Taken {
        let idle = self.open.iter().rposition(|c| c.attempt.is_none());
        let new = idle.is_none();
        let i = idle.unwrap_or_else(|| {
            self.open.push(Connection {
                silent: false,
                attempt: None,
                progress: ConnectionProgress::new(now),
            });
            self.open.len() - 1
        });
        let connection = &mut self.open[i];
        connection.attempt = Some(attempt);
        connection.progress.record_request(now);
        Taken {
            new,
            silent: connection.silent,
        }
    }

    /// The answer of an attempt that was sent at `sent` is whole.
    pub fn record_response(&mut self, now: Instant, attempt: usize, sent: Instant) {
        if let Some(c) = self.open.iter_mut().find(|c| c.attempt == Some(attempt)) {
            c.attempt = None;
            c.progress.record_response(now);
        }
        self.last_answered_sent = self.last_answered_sent.max(Some(sent));
    }

    /// Closes the connection of an attempt that was given up on.
    pub fn close(&mut self, attempt: usize) {
        self.open.retain(|c| c.attempt != Some(attempt));
    }

    /// Makes a share of the open connections silent.
    pub fn silence(&mut self, rng: &mut Pcg64Mcg) {
        for connection in &mut self.open {
            connection.silent |= rng.random_bool(SILENT_SHARE);
        }
    }

    /// Attempts on connections that have gone silent.
    pub fn silent_attempts(&self, now: Instant, usual: Duration) -> Vec<usize> {
        let last = self.last_answered_sent;
        let silent = |c: &&Connection| c.progress.is_stalled(now, usual, last);
        self.open
            .iter()
            .filter(silent)
            .filter_map(|c| c.attempt)
            .collect()
    }
}
