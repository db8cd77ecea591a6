//! An attempt that is counted as in flight until it ends.

use std::sync::Arc;

use super::{metrics::count_attempt, shared::Ingress};
use crate::core::placement::{AttemptOutcome, LoadReport, Placement};

/// Counts as abandoned when it is dropped before its end.
#[derive(Debug)]
pub(super) struct InFlight {
    ingress: Arc<Ingress>,
    placement: Placement,
    ended: bool,
}

impl InFlight {
    pub(super) fn new(ingress: Arc<Ingress>, placement: Placement) -> Self {
        Self {
            ingress,
            placement,
            ended: false,
        }
    }

    pub(super) fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Tells the balancer how the attempt ended.
    pub(super) fn end(mut self, outcome: AttemptOutcome, load: Option<LoadReport>) {
        self.tell(outcome, load);
    }

    fn tell(&mut self, outcome: AttemptOutcome, load: Option<LoadReport>) {
        let now = self.ingress.now();
        let took = now.saturating_duration_since(self.placement.started_at);
        count_attempt(outcome, took);
        let mut balancer = self.ingress.balancer.lock();
        balancer.record_attempt_end(now, &self.placement, outcome, load);
        drop(balancer);
        self.ingress.room.notify_waiters();
        self.ended = true;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(AttemptOutcome::Abandoned, None);
        }
    }
}
