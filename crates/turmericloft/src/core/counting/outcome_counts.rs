//! Counts of requests by outcome.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::EnumCount;

use super::{LatencyHistogram, StepCount};
use crate::core::{Outcome, Step};

/// Counts of requests by outcome, with the steps at which they ended and the latency of served
/// ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Admitted requests, including those that have ended.
    pub admitted: u64,
    /// Ended requests, indexed by [`Outcome`] in the order of its variants.
    pub ended: [u64; Outcome::COUNT],
    /// Requests that ended with another outcome than served, by outcome and step; without those
    /// whose step is not known. Sorted.
    pub steps: Vec<StepCount>,
    /// Latency of served requests, as far as it was recorded.
    pub latency: LatencyHistogram,
}

impl OutcomeCounts {
    /// Number of requests that ended with `outcome`.
    pub fn ended_with(&self, outcome: Outcome) -> u64 {
        self.ended[outcome as usize]
    }

    /// Number of requests that ended with any outcome.
    pub fn ended_total(&self) -> u64 {
        self.ended.iter().sum()
    }

    /// Number of admitted requests that have not ended.
    pub fn in_flight(&self) -> u64 {
        self.admitted.saturating_sub(self.ended_total())
    }

    /// Records the end of one request. `elapsed` is `None` unless it was served and its latency
    /// was measured; `step` is ignored for served requests.
    pub fn record_end(&mut self, outcome: Outcome, step: Option<Step>, elapsed: Option<Duration>) {
        self.ended[outcome as usize] += 1;
        if let Some(elapsed) = elapsed {
            self.latency.record(elapsed);
        }
        if let Some(step) = step.filter(|_| outcome != Outcome::Served) {
            self.add_step_count(&StepCount {
                outcome,
                step,
                requests: 1,
            });
        }
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.admitted += other.admitted;
        for (sum, n) in self.ended.iter_mut().zip(other.ended) {
            *sum += n;
        }
        other.steps.iter().for_each(|s| self.add_step_count(s));
        self.latency.merge(&other.latency);
    }

    /// Counts since `earlier`, an earlier state of the same counts. The latency is empty if
    /// latencies were cleared in between.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut difference = self.clone();
        difference.admitted = self.admitted.saturating_sub(earlier.admitted);
        for (n, subtracted) in difference.ended.iter_mut().zip(earlier.ended) {
            *n = n.saturating_sub(subtracted);
        }
        for count in &mut difference.steps {
            let subtracted = earlier.steps.iter().find(|s| is_same_step(s, count));
            count.requests -= subtracted.map_or(0, |s| s.requests).min(count.requests);
        }
        difference.steps.retain(|s| s.requests > 0);
        difference.latency = self.latency.since(&earlier.latency).unwrap_or_default();
        difference
    }

    fn add_step_count(&mut self, added: &StepCount) {
        match self.steps.iter_mut().find(|s| is_same_step(s, added)) {
            Some(count) => count.requests += added.requests,
            None => {
                let index = self.steps.partition_point(|s| s < added);
                self.steps.insert(index, *added);
            }
        }
    }
}

fn is_same_step(a: &StepCount, b: &StepCount) -> bool {
    a.outcome == b.outcome && a.step == b.step
}
