//! What an endpoint with a limit gets from gateways that know it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Length of the sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor on the limit that is allowed.
const ALLOWED_FACTOR: f64 = 1.5;
/// Requests that are allowed beyond it.
const ALLOWED_EXTRA: f64 = 5.0;

/// Requests that are allowed in a window at this limit.
pub(super) fn allowed(per_second: f64) -> f64 {
    ALLOWED_FACTOR * per_second * WINDOW.as_secs_f64() + ALLOWED_EXTRA
}

/// Arrivals in the last window.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    at: VecDeque<Instant>,
}

impl Arrivals {
    /// Adds an arrival, and returns how many there are in the window that ends with it.
    pub(super) fn add(&mut self, now: Instant) -> usize {
        self.at.push_back(now);
        while self.at.front().is_some_and(|at| now - *at >= WINDOW) {
            self.at.pop_front();
        }
        self.at.len()
    }

    pub(super) fn clear(&mut self) {
        self.at.clear();
    }
}
