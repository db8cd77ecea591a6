//! Rate-limited log lines about single requests.

use std::{
    collections::HashMap,
    fmt::Arguments,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

/// Length of the windows in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Lines of one kind written per window. The first lines show the start of a fault; the metrics
/// tell how often it occurs.
const LINES_PER_WINDOW: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Window {
    start: Instant,
    lines: u32,
    suppressed: u64,
}

/// Writes the first lines of each kind in each window and counts the suppressed ones.
#[derive(Debug, Default)]
pub(crate) struct RateLimitedLog {
    windows: Mutex<HashMap<&'static str, Window>>,
}

impl RateLimitedLog {
    /// Writes a line of this kind unless the window's limit is reached. The line carries the number
    /// of lines suppressed before it in `left_out=`.
    pub(crate) fn write_line(&self, now: Instant, kind: &'static str, line: Arguments<'_>) {
        match self.admit(now, kind) {
            None => {}
            Some(0) => log::info!("{kind}: {line}"),
            Some(suppressed) => log::info!("{kind}: {line} left_out={suppressed}"),
        }
    }

    /// Returns the number of lines suppressed before this one, or `None` if this one is suppressed.
    fn admit(&self, now: Instant, kind: &'static str) -> Option<u64> {
        let mut windows = self.windows.lock();
        let window = windows.entry(kind).or_insert(Window {
            start: now,
            lines: 0,
            suppressed: 0,
        });
        if now.saturating_duration_since(window.start) >= WINDOW {
            window.start = now;
            window.lines = 0;
        }
        if window.lines >= LINES_PER_WINDOW {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
