//! What one gateway knows of the slow start of one endpoint.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::INTERVAL;
use crate::core::{
    placement::{AttemptOutcome, DiscoveredEndpoint, EndpointState},
    rate_limit::sent_times::SentTimes,
    traffic::SlowStart,
};

/// An endpoint of any service.
#[derive(Clone, Debug)]
pub(super) struct KnownEndpoint {
    /// The endpoint as the registry last described it.
    pub(super) entry: DiscoveredEndpoint,
    /// End of the slow start by what the endpoint or its entry stated.
    stated_until: Option<Instant>,
    /// When it became ready, reachable or accessible, with nothing stated since.
    suspected_since: Option<Instant>,
    /// When it was last said or suspected to be cold.
    evidence_at: Option<Instant>,
    /// Whether the last attempt did not reach it.
    is_unreachable: bool,
    /// Requests and probes of this gateway.
    contacts: SentTimes,
    /// Requests and probes of this gateway in each interval while it is cold.
    pub(super) share: u32,
}

impl KnownEndpoint {
    /// An endpoint that was registered before this gateway knew any.
    pub(super) fn new(now: Instant, entry: &DiscoveredEndpoint) -> Self {
        let mut known = Self {
            entry: entry.clone(),
            stated_until: None,
            suspected_since: None,
            evidence_at: None,
            is_unreachable: false,
            contacts: SentTimes::default(),
            share: 0,
        };
        known.record_entry_time(now, entry.warmup_left);
        known
    }

    /// An endpoint that has just become ready.
    pub(super) fn just_ready(now: Instant, entry: &DiscoveredEndpoint) -> Self {
        let mut known = Self::new(now, entry);
        if known.stated_until.is_none() {
            known.suspect(now);
        }
        known
    }

    /// Applies its present entry.
    pub(super) fn update(&mut self, now: Instant, entry: &DiscoveredEndpoint) {
        let before = std::mem::replace(&mut self.entry, entry.clone());
        let is_restarted =
            before.started_at_ms != entry.started_at_ms || before.address != entry.address;
        let is_ready_again =
            before.state != EndpointState::Ready && entry.state == EndpointState::Ready;
        if is_restarted || is_ready_again {
            self.suspect(now);
            if !entry.warmup_left.is_zero() {
                self.record_entry_time(now, entry.warmup_left);
            }
        } else if before.warmup_left != entry.warmup_left {
            self.record_entry_time(now, entry.warmup_left);
        }
    }

    fn record_entry_time(&mut self, now: Instant, left: Duration) {
        self.record_stated(now, now, left);
    }

    /// Records that the endpoint stated the time `left` in response to a check that was sent at `sent_at`. A response
    /// to an earlier check than the last sign of a slow start does not end it.
    pub(super) fn record_stated(&mut self, now: Instant, sent_at: Instant, left: Duration) {
        if left.is_zero() {
            if self.evidence_at.is_none_or(|at| at <= sent_at) {
                self.stated_until = None;
                self.suspected_since = None;
                self.is_unreachable = false;
            }
            return;
        }
        self.stated_until = now.checked_add(left);
        self.suspected_since = None;
        self.evidence_at = Some(now);
    }

    /// Counts the endpoint as cold for the duration of its slow start, unless something is stated.
    pub(super) fn suspect(&mut self, now: Instant) {
        self.suspected_since = Some(now);
        self.evidence_at = Some(now);
    }

    /// Records how an attempt ended: an endpoint that was not reached may have started again meanwhile.
    pub(super) fn record_attempt_end(&mut self, now: Instant, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Unreachable => {
                self.is_unreachable = true;
                self.suspect(now);
            }
            AttemptOutcome::Answered | AttemptOutcome::Failed | AttemptOutcome::Shed => {
                let was_unreachable = std::mem::take(&mut self.is_unreachable);
                if was_unreachable {
                    self.suspect(now);
                }
            }
            _ => {}
        }
    }

    /// Whether it is cold, by the slow start of its service.
    pub(super) fn is_cold(&self, now: Instant, slow_start: &SlowStart) -> bool {
        self.cold_until(slow_start).is_some_and(|until| until > now)
    }

    /// When its slow start ends or has ended; `None` if there was none.
    pub(super) fn cold_until(&self, slow_start: &SlowStart) -> Option<Instant> {
        let suspected = self.suspected_since;
        let suspected_until = suspected.and_then(|at| at.checked_add(slow_start.duration));
        self.stated_until.max(suspected_until)
    }

    /// Whether nobody has stated that it is cold.
    pub(super) fn is_only_suspected(&self) -> bool {
        self.suspected_since.is_some() && self.stated_until.is_none()
    }

    /// When the next request or probe may be sent while it is cold; `None` without a share.
    pub(super) fn contact_due(&self, now: Instant) -> Option<Instant> {
        let share = (self.share > 0).then_some(self.share as usize)?;
        let due = self.contacts.nth_last(share).map(|at| at + INTERVAL);
        due.max(Some(now))
    }

    /// Records that a request or probe is sent.
    pub(super) fn record_contact(&mut self, now: Instant) {
        self.contacts.add(now, INTERVAL);
    }

    /// Whether a request or probe was sent in the last interval.
    pub(super) fn has_recent_contact(&self, now: Instant) -> bool {
        let last = self.contacts.nth_last(1);
        last.is_some_and(|at| now.saturating_duration_since(at) < INTERVAL)
    }

    /// Name of its service.
    pub(super) fn service(&self) -> &Arc<str> {
        &self.entry.service
    }
}
