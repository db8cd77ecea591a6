//! Limits the load that retries add to a service.
//!
//! Load pattern: some endpoints fail or stall, every gateway retries their requests, and the other
//! endpoints fail under the retries. The limit applies to all gateways together. Each gateway
//! retries a share of its own requests only, so that the sum stays within the limit however the
//! requests are distributed.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::core::saturating::instant_after;

/// Slices of the sliding window.
const SLICES: u32 = 10;

#[derive(Clone, Copy, Debug)]
struct Slice {
    start: Instant,
    requests: u32,
    retries: u32,
}

/// Retries and requests of one service in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    /// Reserve of this gateway.
    reserve: f64,
    /// Largest reserve of a gateway.
    max_reserve: f64,
    /// Reserve of all gateways together; `None` if it is not limited.
    shared_reserve: Option<f64>,
    /// When the reserve may be used; `None` if at once.
    reserve_from: Option<Instant>,
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Allows in each `window` `reserve` retries and a further `ratio` of the requests.
    pub fn new(window: Duration, ratio: f64, reserve: f64) -> Self {
        Self {
            window,
            ratio,
            reserve,
            max_reserve: reserve,
            shared_reserve: None,
            reserve_from: None,
            slices: VecDeque::new(),
        }
    }

    /// Limits the reserves of all gateways together to `shared_reserve` retries in each window.
    #[must_use]
    pub fn with_shared_reserve(mut self, shared_reserve: f64) -> Self {
        self.shared_reserve = Some(shared_reserve);
        self
    }

    /// Holds the reserve back for a window: before a restart the host may have used it already.
    #[must_use]
    pub fn after_restart(mut self, now: Instant) -> Self {
        self.reserve_from = Some(instant_after(now, self.window));
        self
    }

    /// Sets the number of gateways that share the reserve, including this one.
    pub fn share_reserve(&mut self, gateways: usize) {
        let equal_share = |shared: f64| shared / gateways.max(1) as f64;
        let share = self.shared_reserve.map_or(self.max_reserve, equal_share);
        self.reserve = share.min(self.max_reserve);
    }

    /// Records a request, which adds `ratio` retries to the window.
    pub fn record_request(&mut self, now: Instant) {
        self.current_slice(now).requests += 1;
    }

    /// Takes one retry. Returns false if none is left in the window.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.current_slice(now);
        let requests: u32 = self.slices.iter().map(|s| s.requests).sum();
        let retries: u32 = self.slices.iter().map(|s| s.retries).sum();
        let has_reserve = self.reserve_from.is_none_or(|from| from <= now);
        let reserve = if has_reserve { self.reserve } else { 0.0 };
        let allowed = f64::from(requests) * self.ratio + reserve;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current_slice(now).retries += 1;
        true
    }

    /// The current slice. Slices that left the window are removed first.
    fn current_slice(&mut self, now: Instant) -> &mut Slice {
        let window = self.window;
        self.slices
            .retain(|s| now.saturating_duration_since(s.start) < window);
        let slice_length = window / SLICES;
        let is_current = self
            .slices
            .back()
            .is_some_and(|s| now.saturating_duration_since(s.start) < slice_length);
        if !is_current {
            self.slices.push_back(Slice {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
