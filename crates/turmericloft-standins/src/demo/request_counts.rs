//! Comparison of a report with the responses that callers received.

use std::collections::BTreeMap;

use strum::{EnumCount, IntoEnumIterator};
use turmericloft::core::{Outcome, counting::report::Line};

use crate::load::{CallKey, CallStats, LoadResults};

/// Counts of the requests of one caller or of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Number of requests admitted.
    pub admitted: u64,
    /// Number of requests ended, by [`Outcome`] in the order of its variants.
    pub ended: [u64; Outcome::COUNT],
}

/// Counts by the name of a caller or kind.
pub(super) type CountsByName = BTreeMap<String, RequestCounts>;

impl RequestCounts {
    pub(super) fn of_stats(stats: &CallStats) -> Self {
        let mut counts = Self {
            admitted: stats.sent,
            ..Self::default()
        };
        for outcome in Outcome::iter() {
            counts.ended[outcome as usize] = stats.with_outcome(outcome);
        }
        counts.ended[Outcome::Unfinished as usize] += stats.incomplete;
        counts
    }

    pub(super) fn of_line(line: &Line) -> Self {
        let ended = |outcome| match outcome {
            Outcome::Served => line.served,
            Outcome::Refused => line.refused,
            Outcome::NotRun => line.not_run,
            Outcome::Unknown => line.unknown,
            Outcome::Unfinished => line.unfinished,
        };
        let mut counts = Self {
            admitted: line.admitted,
            ..Self::default()
        };
        for outcome in Outcome::iter() {
            counts.ended[outcome as usize] = ended(outcome);
        }
        counts
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.admitted += other.admitted;
        for (count, n) in self.ended.iter_mut().zip(other.ended) {
            *count += n;
        }
    }

    fn describe(&self) -> String {
        let mut text = format!("admitted {}", self.admitted);
        for outcome in Outcome::iter() {
            text.push_str(&format!(", {outcome} {}", self.ended[outcome as usize]));
        }
        text
    }
}

/// Returns the counts from the responses that callers received, grouped by the name that `name`
/// returns for each key.
pub(super) fn counts_seen(
    results: &LoadResults,
    name: impl Fn(&CallKey) -> String,
) -> CountsByName {
    let mut counts = CountsByName::new();
    for (key, stats) in &results.by_key {
        counts
            .entry(name(key))
            .or_default()
            .add(&RequestCounts::of_stats(stats));
    }
    counts
}

/// Returns a line for each name whose reported counts differ from those that the callers saw, and
/// for each name whose reported ended requests do not add up to the admitted ones. Empty if all
/// agree.
pub fn compare_counts(
    reported: &BTreeMap<String, RequestCounts>,
    seen: &BTreeMap<String, RequestCounts>,
) -> Vec<String> {
    let mut lines = Vec::new();
    let names: std::collections::BTreeSet<_> = reported.keys().chain(seen.keys()).collect();
    for name in names {
        let reported = reported.get(name).cloned().unwrap_or_default();
        let seen = seen.get(name).cloned().unwrap_or_default();
        if reported != seen {
            let (reported, seen) = (reported.describe(), seen.describe());
            lines.push(format!("{name}: reported {reported}; callers saw {seen}"));
        }
        let ended: u64 = total_ended(&reported);
        if ended != reported.admitted {
            let admitted = reported.admitted;
            lines.push(format!("{name}: {admitted} admitted, but {ended} ended"));
        }
    }
    lines
}

fn total_ended(counts: &RequestCounts) -> u64 {
    counts.ended.iter().sum()
}
