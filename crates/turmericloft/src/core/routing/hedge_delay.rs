//! Delay after which a call without a response is hedged.
//!
//! Only the slowest calls are hedged, so that hedges add little load.

use std::time::Duration;

/// Running estimate of a high latency quantile by stochastic approximation.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    tail_share: f64,
    seconds: f64,
}

impl HedgeDelay {
    /// Relative step size of one sample.
    const STEP: f64 = 0.25;
    /// Lower bound of the estimate, in seconds.
    const MIN_SECONDS: f64 = 0.000_5;
    /// Upper bound of the estimate, in seconds.
    const MAX_SECONDS: f64 = 10.0;

    /// Creates an estimate of the latency that a share of `tail_share` of the calls exceeds,
    /// starting at `initial`.
    pub fn new(tail_share: f64, initial: Duration) -> Self {
        Self {
            tail_share,
            seconds: initial.as_secs_f64(),
        }
    }

    /// Records the latency of one successful call.
    pub fn record(&mut self, latency: Duration) {
        let factor = if latency.as_secs_f64() > self.seconds {
            1.0 + Self::STEP * (1.0 - self.tail_share)
        } else {
            1.0 - Self::STEP * self.tail_share
        };
        self.seconds = (self.seconds * factor).clamp(Self::MIN_SECONDS, Self::MAX_SECONDS);
    }

    /// The current estimate.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}
