//! Periods of time.

use serde::Serialize;

/// Period between two moments, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Period {
    /// Start; 0 for everything that the log service keeps.
    pub from_ms: u64,
    /// End; for the whole period of a report the time at which it was made.
    pub to_ms: u64,
}

impl Period {
    /// Divides the period at multiples of `step_ms`, or of the smallest multiple of it for which
    /// there are at most `limit` windows.
    pub fn windows(self, step_ms: u64, limit: u64) -> Vec<Self> {
        let length = self.to_ms.saturating_sub(self.from_ms);
        let step_of = |count: u64| length.div_ceil(count.max(1)).div_ceil(step_ms).max(1) * step_ms;
        let mut step = step_of(limit);
        if self.to_ms.div_ceil(step) - self.from_ms / step > limit {
            // A period that begins within a window takes one window more.
            if limit <= 1 {
                return vec![self];
            }
            step = step_of(limit - 1);
        }
        let mut windows = Vec::new();
        let mut from_ms = self.from_ms;
        while from_ms < self.to_ms {
            let to_ms = ((from_ms / step + 1) * step).min(self.to_ms);
            windows.push(Self { from_ms, to_ms });
            from_ms = to_ms;
        }
        windows
    }
}
