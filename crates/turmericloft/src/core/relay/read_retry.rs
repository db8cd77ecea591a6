//! Pace of repeated reads of a registry that does not respond.
//!
//! Load pattern: the registry is unavailable to hundreds of gateways for seconds. If every gateway
//! tried again several times a second, they would make thousands of calls for the one that finds it
//! available. The gateways that nobody precedes try often and relay what they get; the others try
//! seldom, in case the registry is available to them alone.

use std::time::Duration;

/// Delay before the first retry; it doubles with each consecutive failure.
const INITIAL_DELAY: Duration = Duration::from_millis(250);
/// Longest delay of a gateway that hears no other.
const MAX_DELAY: Duration = Duration::from_millis(700);
/// Delay of a gateway that hears one which precedes it. Shorter than the time within which a
/// gateway that was cut off has to be up to date again.
const FOLLOWER_DELAY: Duration = Duration::from_millis(2_500);

/// Consecutive failures of the reads of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadRetry {
    failures: u32,
}

impl ReadRetry {
    /// Records how a read ended.
    pub fn record(&mut self, has_succeeded: bool) {
        self.failures = if has_succeeded { 0 } else { self.failures + 1 };
    }

    /// Delay between the end of a failed read and the next one. `hears_upstream` says whether a
    /// gateway that precedes this one responds, even with old data.
    pub fn delay(&self, hears_upstream: bool) -> Duration {
        if hears_upstream {
            return FOLLOWER_DELAY;
        }
        let doublings = self.failures.saturating_sub(1).min(4);
        (INITIAL_DELAY * 2_u32.pow(doublings)).min(MAX_DELAY)
    }
}
