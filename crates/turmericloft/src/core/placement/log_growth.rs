//! How fast the registry's log grows, and for how long it did not.
//!
//! Load pattern: hundreds of endpoints write a heartbeat every second or two, so that the log grows at a steady rate
//! while the registry is available, whether or not a gateway can read it.

use std::time::{Duration, Instant};

use super::RegistryPosition;

/// Half-life of the records and times that count for the rate.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Time for which the log was watched from which on its rate is known.
const MIN_WATCHED: Duration = Duration::from_secs(2);

/// The end of the log as one gateway has seen it, and the rate at which it moves.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogGrowth {
    last: Option<(Instant, RegistryPosition)>,
    /// Decayed number of records.
    records: f64,
    /// Decayed time in which they were written, in seconds.
    watched_s: f64,
}

impl LogGrowth {
    /// Records that the log ends at `end`. The growth since the last call counts for the rate.
    pub(super) fn record(&mut self, now: Instant, end: RegistryPosition) {
        let since_last = self.since_last(now, end);
        self.advance(now, end);
        if let Some((elapsed, records)) = since_last {
            let decay = (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
            self.records = self.records * decay + records;
            self.watched_s = self.watched_s * decay + elapsed.as_secs_f64();
        }
    }

    /// Records that the log ends at `end` after a time for which it was not watched. Returns for how much of that time
    /// nothing can have been written, by the rate before; `None` if that is not known.
    pub(super) fn record_gap(&mut self, now: Instant, end: RegistryPosition) -> Option<Duration> {
        let since_last = self.since_last(now, end);
        self.advance(now, end);
        let (elapsed, records) = since_last?;
        if self.watched_s < MIN_WATCHED.as_secs_f64() || self.records <= 0.0 {
            return None;
        }
        let written_s = records * self.watched_s / self.records;
        let silent_s = (elapsed.as_secs_f64() - written_s).max(0.0);
        Duration::try_from_secs_f64(silent_s).ok()
    }

    /// Data of another gateway may end before what was seen.
    fn advance(&mut self, now: Instant, end: RegistryPosition) {
        let seen = self.last.map(|(_, last)| last);
        self.last = Some((now, end.max(seen.unwrap_or(end))));
    }

    /// Time and records since the last call; `None` if the log is another one since.
    fn since_last(&self, now: Instant, end: RegistryPosition) -> Option<(Duration, f64)> {
        let (at, before) = self.last.filter(|(_, last)| last.era == end.era)?;
        let records = end.offset.saturating_sub(before.offset);
        Some((now.saturating_duration_since(at), records as f64))
    }
}
