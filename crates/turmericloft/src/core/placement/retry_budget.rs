//! Bounds what repeats add to the load of a service.
//!
//! Load pattern: a part of the endpoints fails or stalls, every gateway repeats what they had, and
//! the rest fails under the repeats. All gateways share one allowance. Each spends a share of its
//! own requests only, so that the sum stays within the allowance however requests are spread.

use std::{collections::VecDeque, time::Instant};

use std::time::Duration;

/// Slices into which the window is cut.
const SLICES: u32 = 10;

#[derive(Clone, Copy, Debug)]
struct Slice {
    start: Instant,
    requests: u32,
    repeats: u32,
}

/// Repeats and requests of one service in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    reserve: f64,
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Allows `reserve` repeats in each `window`, and `ratio` of the requests beside them.
    pub fn new(window: Duration, ratio: f64, reserve: f64) -> Self {
        Self {
            window,
            ratio,
            reserve,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.slice(now).requests += 1;
    }

    /// Takes one repeat, if there is one left.
    pub fn take(&mut self, now: Instant) -> bool {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|s| s.requests).sum();
        let repeats: u32 = self.slices.iter().map(|s| s.repeats).sum();
        let allowed = f64::from(requests) * self.ratio + self.reserve;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }

    /// The slice of the present, after those that left the window were dropped.
    fn slice(&mut self, now: Instant) -> &mut Slice {
        let window = self.window;
        self.slices
            .retain(|s| now.saturating_duration_since(s.start) < window);
        let length = window / SLICES;
        let fresh = self
            .slices
            .back()
            .is_some_and(|s| now.saturating_duration_since(s.start) < length);
        if !fresh {
            self.slices.push_back(Slice {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
