//! Lines for single requests, in bounded number.

use std::{
    collections::HashMap,
    fmt::Arguments,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

/// Span over which lines are counted.
const SPAN: Duration = Duration::from_secs(1);
/// Lines of one kind in each span: the first ones show what began, counters tell how often.
const LINES_PER_SPAN: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Span {
    start: Instant,
    lines: u32,
    left_out: u64,
}

/// Writes the first lines of each kind in each second and counts the others.
#[derive(Debug, Default)]
pub(super) struct DecisionLog {
    spans: Mutex<HashMap<&'static str, Span>>,
}

impl DecisionLog {
    /// Writes a line of a kind, unless too many were written.
    pub(super) fn note(&self, now: Instant, kind: &'static str, line: Arguments<'_>) {
        match self.admit(now, kind) {
            None => {}
            Some(0) => log::info!("{kind}: {line}"),
            Some(left_out) => log::info!("{kind}: {line} left_out={left_out}"),
        }
    }

    /// Whether a line may be written, and how many were left out before it.
    fn admit(&self, now: Instant, kind: &'static str) -> Option<u64> {
        let mut spans = self.spans.lock();
        let span = spans.entry(kind).or_insert(Span {
            start: now,
            lines: 0,
            left_out: 0,
        });
        if now.saturating_duration_since(span.start) >= SPAN {
            span.start = now;
            span.lines = 0;
        }
        if span.lines >= LINES_PER_SPAN {
            span.left_out += 1;
            return None;
        }
        span.lines += 1;
        Some(std::mem::take(&mut span.left_out))
    }
}
