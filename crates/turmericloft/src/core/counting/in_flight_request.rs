//! An admitted request that has not ended.

use std::{sync::Arc, time::Instant};

use super::Counter;
use crate::core::{Outcome, Step};

/// An admitted request. Ending it consumes the value, so a request ends exactly once; a request
/// that is dropped without an end counts as [`Outcome::Unfinished`].
#[derive(Debug)]
pub struct InFlightRequest {
    counter: Arc<Counter>,
    admitted_at: Option<Instant>,
    last_step: Option<Step>,
    is_ended: bool,
}

impl InFlightRequest {
    pub(super) fn new(counter: Arc<Counter>, admitted_at: Option<Instant>) -> Self {
        counter.record_admission();
        Self {
            counter,
            admitted_at,
            last_step: None,
            is_ended: false,
        }
    }

    /// Records the step that the request has reached, which is the step of its end if it is
    /// dropped or ends through [`Self::end`].
    pub fn record_step(&mut self, step: Step) {
        self.last_step = Some(step);
    }

    /// Ends the request with `outcome` at the last recorded step, without recording its latency.
    pub fn end(mut self, outcome: Outcome) {
        self.is_ended = true;
        self.counter.record_end(outcome, self.last_step, None);
    }

    /// Ends the request with `outcome` at `step`. The latency of a served request is recorded if
    /// its time of admission is known.
    pub fn end_at(mut self, outcome: Outcome, step: Step, now: Instant) {
        self.is_ended = true;
        let elapsed = self
            .admitted_at
            .filter(|_| outcome == Outcome::Served)
            .map(|at| now.saturating_duration_since(at));
        self.counter.record_end(outcome, Some(step), elapsed);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.is_ended {
            self.counter
                .record_end(Outcome::Unfinished, self.last_step, None);
        }
    }
}
