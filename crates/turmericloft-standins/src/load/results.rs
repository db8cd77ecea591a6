//! Results of a load.

use std::{collections::BTreeMap, time::Duration};

use super::{CallKey, Tally};

/// Tallies by sort of call.
#[derive(Clone, Debug, Default)]
pub struct LoadResults {
    /// Tally of each caller, service and kind.
    pub by_key: BTreeMap<CallKey, Tally>,
    /// Time from the first intended start to the last answer.
    pub elapsed: Duration,
}

impl LoadResults {
    /// Sum over all calls.
    pub fn total(&self) -> Tally {
        sum(self.by_key.values())
    }

    /// Sum over the calls of one caller.
    pub fn caller(&self, caller: &str) -> Tally {
        let of_caller = |(key, tally)| Some(tally).filter(|_| is_from(key, caller));
        sum(self.by_key.iter().filter_map(of_caller))
    }

    /// Adds the results of another load.
    pub fn add(&mut self, other: &Self) {
        for (key, tally) in &other.by_key {
            self.by_key.entry(key.clone()).or_default().add(tally);
        }
        self.elapsed = self.elapsed.max(other.elapsed);
    }
}

fn is_from(key: &CallKey, caller: &str) -> bool {
    key.caller == caller
}

fn sum<'a>(tallies: impl Iterator<Item = &'a Tally>) -> Tally {
    tallies.fold(Tally::default(), |mut sum, tally| {
        sum.add(tally);
        sum
    })
}
