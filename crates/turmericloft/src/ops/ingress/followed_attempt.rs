//! An attempt whose endpoint is checked if the gateway does not see how it ends.

use std::{sync::Arc, time::Instant};

use super::{
    attempt::{AttemptEnd, ForwardedRequest},
    shared::Ingress,
};
use crate::core::{
    placement::{AttemptOutcome, DiscoveredEndpoint},
    quarantine::AbandonedAttempt,
};

/// An attempt that is followed from when its request is sent. It counts as abandoned if it is dropped
/// after that, or has timed out, unless another attempt of the request has succeeded.
#[derive(Debug)]
pub(super) struct FollowedAttempt {
    ingress: Arc<Ingress>,
    forwarded: Arc<ForwardedRequest>,
    endpoint: Arc<DiscoveredEndpoint>,
    /// When the request was sent; `None` if it was not, or if the end of the attempt was seen.
    sent_at: Option<Instant>,
}

impl FollowedAttempt {
    pub(super) fn new(
        ingress: Arc<Ingress>,
        forwarded: Arc<ForwardedRequest>,
        endpoint: Arc<DiscoveredEndpoint>,
    ) -> Self {
        Self {
            ingress,
            forwarded,
            endpoint,
            sent_at: None,
        }
    }

    /// Records that the request is being sent.
    pub(super) fn record_sending(&mut self) {
        self.sent_at = Some(self.ingress.now());
    }

    /// Records that no byte of the request was sent.
    pub(super) fn record_unsent(&mut self) {
        self.sent_at = None;
    }

    /// Records how the attempt ended.
    pub(super) fn record_end(&mut self, end: &AttemptEnd) {
        let is_seen = !matches!(end, AttemptEnd::Unknown(AttemptOutcome::TimedOut));
        if is_seen {
            self.sent_at = None;
        }
    }
}

impl Drop for FollowedAttempt {
    fn drop(&mut self) {
        let Some(sent_at) = self.sent_at else {
            return;
        };
        if self.forwarded.has_succeeded() {
            return;
        }
        let attempt = AbandonedAttempt {
            request: self.forwarded.fingerprint(),
            sent_at,
            runs_until: self.forwarded.deadline,
        };
        let now = self.ingress.now();
        let mut abandoned = self.ingress.abandoned.lock();
        abandoned.add(now, &self.endpoint, attempt);
        drop(abandoned);
        self.ingress.attempt_abandoned.notify_one();
    }
}
