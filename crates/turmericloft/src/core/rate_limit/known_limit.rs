//! The limit of one endpoint as one gateway knows it, and the gateway's use of its share.

use std::time::Instant;

use super::{
    LimitChange, LimitEvent, RateLimit, SharingGateways, fleet_quota::SHARE_INTERVAL,
    sent_times::SentTimes, silence::SilenceClaim,
};
use crate::core::placement::DiscoveredEndpoint;

/// The limit of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct KnownLimit {
    /// The endpoint as the registry last described it.
    pub(super) endpoint: DiscoveredEndpoint,
    pub(super) limit: RateLimit,
    /// When it was first stated to this gateway.
    pub(super) since: Instant,
    pub(super) last_stated_at: Instant,
    pub(super) last_registered_at: Instant,
    /// Requests of this gateway in each interval.
    pub(super) share: u32,
    requests: SentTimes,
    /// Requests and health checks.
    contacts: SentTimes,
    pub(super) silence: SilenceClaim,
}

impl KnownLimit {
    pub(super) fn new(now: Instant, endpoint: &DiscoveredEndpoint, limit: RateLimit) -> Self {
        Self {
            endpoint: endpoint.clone(),
            limit,
            since: now,
            last_stated_at: now,
            last_registered_at: now,
            share: 0,
            requests: SentTimes::default(),
            contacts: SentTimes::default(),
            silence: SilenceClaim::new(now),
        }
    }

    pub(super) fn change(&self, now: Instant, event: LimitEvent) -> LimitChange {
        LimitChange {
            event,
            limit: self.limit,
            known_for: now.saturating_duration_since(self.since),
            share: self.share,
        }
    }

    pub(super) fn update_share(&mut self, sharing: Option<&SharingGateways>) {
        let quota = self.limit.quota();
        self.share = sharing.map_or(0, |s| s.share(&self.endpoint.id, quota));
    }

    /// Whether a request may be sent now, by a usable view of the fleet.
    pub(super) fn allows_request(&self, now: Instant) -> bool {
        self.request_due(now).is_some_and(|due| due <= now)
    }

    /// When a request may be sent; `None` if never by this limit and share.
    pub(super) fn request_due(&self, now: Instant) -> Option<Instant> {
        let interval = self.limit.request_interval()?;
        let share = (self.share > 0).then_some(self.share as usize)?;
        let by_limit = self.requests.nth_last(share).map(|at| at + interval);
        let by_window = self.contacts.nth_last(share).map(|at| at + SHARE_INTERVAL);
        by_limit.max(by_window).max(Some(now))
    }

    /// When this gateway has to check whether the limit is over, because it sends no requests; `None` without
    /// a share.
    pub(super) fn check_due(&self) -> Option<Instant> {
        let last_contact = self.contacts.nth_last(1).unwrap_or(self.since);
        (self.share > 0).then(|| last_contact + SHARE_INTERVAL)
    }

    /// Records that a request is sent.
    pub(super) fn record_request(&mut self, now: Instant) {
        let interval = self.limit.request_interval().unwrap_or(SHARE_INTERVAL);
        self.requests.add(now, interval);
        self.record_check(now);
    }

    /// Records that a health check is sent.
    pub(super) fn record_check(&mut self, now: Instant) {
        self.contacts.add(now, SHARE_INTERVAL);
    }
}
