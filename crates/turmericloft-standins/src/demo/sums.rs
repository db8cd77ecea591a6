//! Comparing a report with what callers saw.

use std::collections::BTreeMap;

use strum::{EnumCount, IntoEnumIterator};
use turmericloft::core::{Outcome, counting::report::Line};

use crate::load::{CallKey, LoadResults, Tally};

/// Requests of one caller, or of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests ended, by [`Outcome`] in the order of its variants.
    pub ended: [u64; Outcome::COUNT],
}

/// Sums by name.
pub(super) type Sums = BTreeMap<String, Sum>;

impl Sum {
    pub(super) fn of_tally(tally: &Tally) -> Self {
        let mut sum = Self {
            admitted: tally.sent,
            ..Self::default()
        };
        for outcome in Outcome::iter() {
            sum.ended[outcome as usize] = tally.with_outcome(outcome);
        }
        sum.ended[Outcome::Unfinished as usize] += tally.broken;
        sum
    }

    pub(super) fn of_line(line: &Line) -> Self {
        let ended = |outcome| match outcome {
            Outcome::Served => line.served,
            Outcome::Refused => line.refused,
            Outcome::NotRun => line.not_run,
            Outcome::Unknown => line.unknown,
            Outcome::Unfinished => line.unfinished,
        };
        let mut sum = Self {
            admitted: line.admitted,
            ..Self::default()
        };
        for outcome in Outcome::iter() {
            sum.ended[outcome as usize] = ended(outcome);
        }
        sum
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.admitted += other.admitted;
        for (sum, n) in self.ended.iter_mut().zip(other.ended) {
            *sum += n;
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

/// What the callers saw, by the name that `name` gives to each sort of call.
pub(super) fn seen(results: &LoadResults, name: impl Fn(&CallKey) -> String) -> Sums {
    let mut sums = Sums::new();
    for (key, tally) in &results.by_key {
        sums.entry(name(key))
            .or_default()
            .add(&Sum::of_tally(tally));
    }
    sums
}

/// Lines that say where a report differs from what callers saw, and where its own sums do not
/// add up. Empty if all agree.
pub fn compare_sums(reported: &BTreeMap<String, Sum>, seen: &BTreeMap<String, Sum>) -> Vec<String> {
    let mut lines = Vec::new();
    let names: std::collections::BTreeSet<_> = reported.keys().chain(seen.keys()).collect();
    for name in names {
        let reported = reported.get(name).cloned().unwrap_or_default();
        let seen = seen.get(name).cloned().unwrap_or_default();
        if reported != seen {
            let (reported, seen) = (reported.describe(), seen.describe());
            lines.push(format!("{name}: reported {reported}; callers saw {seen}"));
        }
        let ended: u64 = reported_total(&reported);
        if ended != reported.admitted {
            let admitted = reported.admitted;
            lines.push(format!("{name}: {admitted} admitted, but {ended} ended"));
        }
    }
    lines
}

fn reported_total(sum: &Sum) -> u64 {
    sum.ended.iter().sum()
}
