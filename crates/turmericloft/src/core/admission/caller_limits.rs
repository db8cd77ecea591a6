//! Limits of one caller's contract.

use std::time::{Duration, Instant};

/// What a contract allows on one gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerLimits {
    /// Requests a second on this gateway.
    pub requests_per_s: Option<f64>,
    /// Requests in flight or waiting on this gateway.
    pub max_in_flight: Option<u32>,
}

/// Token bucket of a caller's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimiter {
    tokens: f64,
    filled: Option<Instant>,
}

impl RateLimiter {
    /// Seconds of the rate that may be used at once after a pause.
    const BURST_S: f64 = 0.25;

    /// Takes one request of `rate` requests a second, or gives the time until one is allowed.
    pub fn try_acquire(&mut self, now: Instant, rate: f64) -> Result<(), Duration> {
        let burst = (rate * Self::BURST_S).max(1.0);
        self.tokens = match self.filled {
            None => burst,
            Some(filled) => {
                let elapsed = now.saturating_duration_since(filled).as_secs_f64();
                (self.tokens + elapsed * rate).min(burst)
            }
        };
        self.filled = Some(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}
