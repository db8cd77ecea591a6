//! An attempt that the balancer counts as in flight until it ends.

use std::sync::Arc;

use super::{metrics::count_attempt, quotas::OpenGrant, shared::Ingress};
use crate::core::placement::{AttemptOutcome, LoadReport, Placement};

/// An attempt in flight. It is recorded as abandoned if it is dropped before [`end`](Self::end).
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    ingress: Arc<Ingress>,
    placement: Placement,
    /// Grant by the quota of the request's organisation; `None` if that has no quota.
    grant: Option<OpenGrant>,
    has_ended: bool,
}

impl InFlightAttempt {
    pub(super) fn new(ingress: Arc<Ingress>, placement: Placement) -> Self {
        Self {
            ingress,
            placement,
            grant: None,
            has_ended: false,
        }
    }

    /// Adds the grant by the quota of the request's organisation.
    pub(super) fn with_grant(mut self, grant: Option<OpenGrant>) -> Self {
        self.grant = grant;
        self
    }

    /// The grant; `None` if the request's organisation has no quota.
    pub(super) fn grant(&self) -> Option<&OpenGrant> {
        self.grant.as_ref()
    }

    pub(super) fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Ends the attempt with this outcome. `load` is `None` if the endpoint sent no load report.
    pub(super) fn end(mut self, outcome: AttemptOutcome, load: Option<LoadReport>) {
        self.record_end(outcome, load);
    }

    fn record_end(&mut self, outcome: AttemptOutcome, load: Option<LoadReport>) {
        let now = self.ingress.now();
        let took = now.saturating_duration_since(self.placement.started_at);
        count_attempt(outcome, took);
        let mut balancer = self.ingress.balancer.lock();
        balancer.record_attempt_end(now, &self.placement, outcome, load);
        drop(balancer);
        self.ingress.capacity_freed.notify_waiters();
        self.has_ended = true;
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if !self.has_ended {
            self.record_end(AttemptOutcome::Abandoned, None);
        }
    }
}
