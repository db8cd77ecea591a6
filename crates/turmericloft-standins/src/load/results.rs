//! Results of a load, by caller, service and kind.

use std::{collections::BTreeMap, time::Duration};

use super::{CallKey, Tally};

/// Statistics of all calls of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadResults {
    /// Statistics by caller, service and kind.
    pub by_key: BTreeMap<CallKey, Tally>,
    /// Time from the start of the load to the end of its last call.
    pub elapsed: Duration,
}

impl LoadResults {
    /// Returns the sum over all calls.
    pub fn total(&self) -> Tally {
        sum(self.by_key.values())
    }

    /// Returns the sum over the calls of one caller.
    pub fn caller(&self, caller: &str) -> Tally {
        let of_caller = |(key, stats)| Some(stats).filter(|_| is_from(key, caller));
        sum(self.by_key.iter().filter_map(of_caller))
    }

    /// Adds the results of another load. The longer `elapsed` is kept.
    pub fn add(&mut self, other: &Self) {
        for (key, stats) in &other.by_key {
            self.by_key.entry(key.clone()).or_default().add(stats);
        }
        self.elapsed = self.elapsed.max(other.elapsed);
    }
}

fn is_from(key: &CallKey, caller: &str) -> bool {
    key.caller == caller
}

fn sum<'a>(all_stats: impl Iterator<Item = &'a Tally>) -> Tally {
    all_stats.fold(Tally::default(), |mut sum, stats| {
        sum.add(stats);
        sum
    })
}
