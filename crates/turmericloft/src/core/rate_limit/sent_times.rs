//! When requests were sent lately.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Times of the last requests, the oldest first.
#[derive(Clone, Debug, Default)]
pub(in crate::core) struct SentTimes {
    times: VecDeque<Instant>,
}

impl SentTimes {
    /// Adds a request, and forgets those that are at least `interval` old. One before the last request counts as
    /// sent with that one.
    pub(in crate::core) fn add(&mut self, now: Instant, interval: Duration) {
        let now = self.times.back().map_or(now, |last| now.max(*last));
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= interval;
        while self.times.front().is_some_and(is_over) {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// When the `n`th last request was sent; `None` if there are fewer.
    pub(in crate::core) fn nth_last(&self, n: usize) -> Option<Instant> {
        let index = self.times.len().checked_sub(n)?;
        self.times.get(index).copied()
    }
}
