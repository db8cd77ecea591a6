//! Whether a connection that owes an answer has gone silent.

use std::time::{Duration, Instant};

/// When one connection last moved bytes, and since when it owes an answer.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionProgress {
    owes_since: Option<Instant>,
    moved: Instant,
}

impl ConnectionProgress {
    /// Shortest silence that is judged.
    pub const MIN_SILENCE: Duration = Duration::from_millis(50);
    /// Usual latencies that a connection may owe an answer before it is judged.
    pub const SILENT_LATENCIES: u32 = 4;

    /// A connection that was just made and owes nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            owes_since: None,
            moved: now,
        }
    }

    /// A request was handed to the connection.
    pub fn request_sent(&mut self, now: Instant) {
        self.owes_since = Some(now);
    }

    /// Bytes of an answer arrived.
    pub fn bytes_moved(&mut self, now: Instant) {
        self.moved = now;
    }

    /// The answer is whole.
    pub fn answer_whole(&mut self, now: Instant) {
        self.moved = now;
        self.owes_since = None;
    }

    /// Since when the connection owes an answer.
    pub fn owes_since(&self) -> Option<Instant> {
        self.owes_since
    }

    /// Whether bytes moved after `moment`.
    pub fn moved_after(&self, moment: Instant) -> bool {
        self.moved > moment
    }

    /// Whether the connection is to be retired: it owes an answer and moved nothing for several
    /// usual latencies, while another connection to the endpoint answered a request that was sent
    /// after this one's.
    pub fn is_silent(
        &self,
        now: Instant,
        usual: Duration,
        last_answered_sent: Option<Instant>,
    ) -> bool {
        let Some(owes_since) = self.owes_since else {
            return false;
        };
        let quiet = now.saturating_duration_since(self.moved.max(owes_since));
        let limit = Self::MIN_SILENCE.max(usual * Self::SILENT_LATENCIES);
        quiet >= limit && last_answered_sent.is_some_and(|sent| sent > owes_since)
    }
}
