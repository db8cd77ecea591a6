//! Limits that a caller's contract sets on one gateway.

use std::time::{Duration, Instant};

/// Limits that a caller's contract sets on one gateway; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerLimits {
    /// Maximum rate, in requests per second on this gateway.
    pub requests_per_s: Option<f64>,
    /// Maximum number of requests in flight or queued on this gateway.
    pub max_in_flight: Option<u32>,
}

/// Token bucket that limits the request rate of one caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimiter {
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl RateLimiter {
    /// Capacity of the bucket, in seconds of the rate.
    const BURST_S: f64 = 0.25;

    /// Takes a token for one request at a limit of `rate` requests per second.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request is allowed if the limit is reached.
    pub fn try_acquire(&mut self, now: Instant, rate: f64) -> Result<(), Duration> {
        let burst = (rate * Self::BURST_S).max(1.0);
        self.tokens = match self.refilled_at {
            None => burst,
            Some(refilled_at) => {
                let elapsed = now.saturating_duration_since(refilled_at).as_secs_f64();
                (self.tokens + elapsed * rate).min(burst)
            }
        };
        self.refilled_at = Some(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}
