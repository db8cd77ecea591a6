//! Results of a load, by caller, service and kind.

use std::{collections::BTreeMap, time::Duration};

use super::{CallKey, CallStats};

/// Statistics of all calls of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadResults {
    /// Statistics by caller, service and kind.
    pub by_key: BTreeMap<CallKey, CallStats>,
    /// Time from the start of the load to the end of its last call.
    pub elapsed: Duration,
}

impl LoadResults {
    /// Returns the sum over all calls.
    pub fn total(&self) -> CallStats {
        sum(self.by_key.values())
    }

    /// Returns the sum over the calls of one caller.
    pub fn caller(&self, caller: &str) -> CallStats {
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

fn sum<'a>(all_stats: impl Iterator<Item = &'a CallStats>) -> CallStats {
    all_stats.fold(CallStats::default(), |mut sum, stats| {
        sum.add(stats);
        sum
    })
}
