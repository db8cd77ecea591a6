//! Limit of the checks that a gateway sends.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Checks that a gateway may send in [`WINDOW`].
const MAX_CHECKS: usize = 4;
/// Window of that limit.
const WINDOW: Duration = Duration::from_secs(1);

/// Times of the last checks.
#[derive(Clone, Debug, Default)]
pub(super) struct CheckPace {
    sent: VecDeque<Instant>,
}

impl CheckPace {
    /// Number of checks that may be sent now.
    pub(super) fn allowed(&mut self, now: Instant) -> usize {
        while self.sent.front().is_some_and(|at| *at + WINDOW <= now) {
            self.sent.pop_front();
        }
        MAX_CHECKS.saturating_sub(self.sent.len())
    }

    pub(super) fn record(&mut self, now: Instant, checks: usize) {
        self.sent.extend(std::iter::repeat_n(now, checks));
    }

    /// When the last checks were sent.
    pub(super) fn last(&self) -> Option<Instant> {
        self.sent.back().copied()
    }

    /// When the next check may be sent.
    pub(super) fn free_at(&self, now: Instant) -> Instant {
        match self.sent.len().checked_sub(MAX_CHECKS) {
            Some(i) => self.sent[i] + WINDOW,
            None => now,
        }
    }
}
