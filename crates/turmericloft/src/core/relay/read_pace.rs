//! When a gateway reads the registry again after a read that failed.
//!
//! Load pattern: a gateway reads several topics of one registry, and hundreds of gateways do. While the
//! registry does not respond, a failed read of one topic says as much as one of each, so all of them share
//! one pace.

use std::time::Instant;

use super::RecoveryTimings;

/// The reads of one gateway that got no response lately.
#[derive(Clone, Debug)]
pub struct ReadPace {
    timings: RecoveryTimings,
    last_failed: Option<FailedRead>,
}

#[derive(Clone, Copy, Debug)]
struct FailedRead {
    started: Instant,
    ended: Instant,
}

impl ReadPace {
    /// No read has failed.
    pub fn new(timings: RecoveryTimings) -> Self {
        Self {
            timings,
            last_failed: None,
        }
    }

    /// Records a read that got a response: the registry responds.
    pub fn record_response(&mut self) {
        self.last_failed = None;
    }

    /// Records a read that started at `started` and has failed `now`.
    pub fn record_failure(&mut self, now: Instant, started: Instant) {
        let is_later = self.last_failed.is_none_or(|last| last.started < started);
        if is_later {
            self.last_failed = Some(FailedRead {
                started,
                ended: now,
            });
        }
    }

    /// When the next read is due; `None` if it need not wait. `relies_on_upstream` says whether a gateway
    /// that precedes this one goes on trying.
    pub fn next_read(&self, relies_on_upstream: bool) -> Option<Instant> {
        let failed = self.last_failed?;
        let next = self
            .timings
            .next_read(failed.ended, failed.started, relies_on_upstream);
        Some(next)
    }
}
