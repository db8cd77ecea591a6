//! Counts by outcome.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::EnumCount;

use super::{LatencyHistogram, StepCount};
use crate::core::{Outcome, Step};

/// Counts of requests by outcome, with the steps and times of their ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Requests admitted, ended or not.
    pub admitted: u64,
    /// Requests ended, by [`Outcome`] in the order of its variants.
    pub ended: [u64; Outcome::COUNT],
    /// Requests that ended other than served, by outcome and step, where the step is known.
    pub steps: Vec<StepCount>,
    /// Times of served requests, as far as they were taken.
    pub latency: LatencyHistogram,
}

impl OutcomeCounts {
    /// Requests that ended with `outcome`.
    pub fn ended_with(&self, outcome: Outcome) -> u64 {
        self.ended[outcome as usize]
    }

    /// Requests that ended.
    pub fn ended_total(&self) -> u64 {
        self.ended.iter().sum()
    }

    /// Requests admitted that have not ended.
    pub fn in_flight(&self) -> u64 {
        self.admitted.saturating_sub(self.ended_total())
    }

    /// Counts the end of one request; `elapsed` only of served ones whose time was taken.
    pub fn end(&mut self, outcome: Outcome, step: Option<Step>, elapsed: Option<Duration>) {
        self.ended[outcome as usize] += 1;
        if let Some(elapsed) = elapsed {
            self.latency.record(elapsed);
        }
        if let Some(step) = step.filter(|_| outcome != Outcome::Served) {
            self.add_steps(&StepCount {
                outcome,
                step,
                requests: 1,
            });
        }
    }

    /// Adds another counts's counts.
    pub fn add(&mut self, other: &Self) {
        self.admitted += other.admitted;
        for (sum, n) in self.ended.iter_mut().zip(other.ended) {
            *sum += n;
        }
        other.steps.iter().for_each(|s| self.add_steps(s));
        self.latency.merge(&other.latency);
    }

    /// Counts since `earlier`, an earlier state of the same counts.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut later = self.clone();
        later.admitted = self.admitted.saturating_sub(earlier.admitted);
        for (n, before) in later.ended.iter_mut().zip(earlier.ended) {
            *n = n.saturating_sub(before);
        }
        for counted in &mut later.steps {
            let before = earlier.steps.iter().find(|s| same_step(s, counted));
            counted.requests -= before.map_or(0, |s| s.requests).min(counted.requests);
        }
        later.steps.retain(|s| s.requests > 0);
        later.latency = self.latency.since(&earlier.latency).unwrap_or_default();
        later
    }

    fn add_steps(&mut self, more: &StepCount) {
        match self.steps.iter_mut().find(|s| same_step(s, more)) {
            Some(counted) => counted.requests += more.requests,
            None => {
                let place = self.steps.partition_point(|s| s < more);
                self.steps.insert(place, *more);
            }
        }
    }
}

fn same_step(a: &StepCount, b: &StepCount) -> bool {
    a.outcome == b.outcome && a.step == b.step
}
