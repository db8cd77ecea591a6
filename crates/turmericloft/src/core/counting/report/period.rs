//! Stretches of time.

use serde::Serialize;

/// From one moment up to another, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Period {
    /// Start; 0 for all that is kept.
    pub from_ms: u64,
    /// End.
    pub to_ms: u64,
}

impl Period {
    /// Divides the period at whole multiples of `step_ms`, into at most `limit` windows by
    /// taking longer steps if needed.
    pub fn windows(self, step_ms: u64, limit: u64) -> Vec<Self> {
        let length = self.to_ms.saturating_sub(self.from_ms);
        let per_window = length.div_ceil(limit.max(1));
        let step = per_window.div_ceil(step_ms).max(1) * step_ms;
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
