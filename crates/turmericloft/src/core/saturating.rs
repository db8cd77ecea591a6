//! Instants and durations from values that other parties write, where plain arithmetic would panic.

#![deny(clippy::arithmetic_side_effects)] // Other parties write the values here.

use std::time::{Duration, Instant};

/// Longest time that is told from longer ones, about 30 years. An instant so far ahead can be represented on every
/// platform.
pub(crate) const MAX_TIME: Duration = Duration::from_secs(30 * 365 * 86_400);

/// The instant `time` after `at`, or one about 30 years ahead if that is earlier.
pub(crate) fn instant_after(at: Instant, time: Duration) -> Instant {
    at.checked_add(time.min(MAX_TIME)).unwrap_or(at)
}

/// The duration of this many seconds, from 0 to [`MAX_TIME`]; 0 for what is no number.
pub(crate) fn duration_of_seconds(seconds: f64) -> Duration {
    let max_s = MAX_TIME.as_secs_f64();
    Duration::try_from_secs_f64(seconds.max(0.0).min(max_s)).unwrap_or_default()
}
