//! A counted request that has not ended.

use std::{sync::Arc, time::Instant};

use super::Counter;
use crate::core::{Outcome, Step};

/// An admitted request; ending it takes it, so that it ends once. Dropped, it is unfinished.
#[derive(Debug)]
pub struct OpenCount {
    counter: Arc<Counter>,
    admitted_at: Option<Instant>,
    reached: Option<Step>,
    ended: bool,
}

impl OpenCount {
    pub(super) fn new(counter: Arc<Counter>, admitted_at: Option<Instant>) -> Self {
        counter.admit();
        Self {
            counter,
            admitted_at,
            reached: None,
            ended: false,
        }
    }

    /// Notes the step reached; it counts as the step of the end if the request is dropped.
    pub fn reach(&mut self, step: Step) {
        self.reached = Some(step);
    }

    /// Ends the request with `outcome`, without its time.
    pub fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.counter.end(outcome, self.reached, None);
    }

    /// Ends the request with `outcome` at `step` and `now`.
    pub fn end_at(mut self, outcome: Outcome, step: Step, now: Instant) {
        self.ended = true;
        let elapsed = self
            .admitted_at
            .filter(|_| outcome == Outcome::Served)
            .map(|at| now.saturating_duration_since(at));
        self.counter.end(outcome, Some(step), elapsed);
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        if !self.ended {
            self.counter.end(Outcome::Unfinished, self.reached, None);
        }
    }
}
