//! When a call is slow enough to be hedged.

use std::time::Duration;

/// Running estimate of a high quantile of latency, by stochastic approximation.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    tail_share: f64,
    seconds: f64,
}

impl HedgeDelay {
    /// Relative step of one sample.
    const STEP: f64 = 0.25;
    /// Shortest delay, in seconds.
    const MIN_SECONDS: f64 = 0.000_5;
    /// Longest delay, in seconds.
    const MAX_SECONDS: f64 = 10.0;

    /// An estimate of the latency that `tail_share` of calls exceed, starting at `initial`.
    pub fn new(tail_share: f64, initial: Duration) -> Self {
        Self {
            tail_share,
            seconds: initial.as_secs_f64(),
        }
    }

    /// Takes in the latency of one call.
    pub fn record(&mut self, latency: Duration) {
        let factor = if latency.as_secs_f64() > self.seconds {
            1.0 + Self::STEP * (1.0 - self.tail_share)
        } else {
            1.0 - Self::STEP * self.tail_share
        };
        self.seconds = (self.seconds * factor).clamp(Self::MIN_SECONDS, Self::MAX_SECONDS);
    }

    /// The estimate.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }
}
