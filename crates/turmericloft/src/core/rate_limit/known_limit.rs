//! The limit of one endpoint as one gateway knows it, and the gateway's use of its share.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::{
    LimitChange, LimitEvent, RateLimit, SharingGateways, fleet_quota::SHARE_INTERVAL,
    silence::SilenceClaim,
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
    /// When requests and health checks were sent, the oldest first.
    sent: VecDeque<Instant>,
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
            sent: VecDeque::new(),
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
        let interval = self.limit.request_interval();
        interval.is_some_and(|interval| self.sent_within(now, interval) < self.share as usize)
    }

    /// When a request may be sent; `None` if never by this limit and share.
    pub(super) fn request_due(&self, now: Instant) -> Option<Instant> {
        let interval = self.limit.request_interval()?;
        let share = self.share as usize;
        if share == 0 {
            return None;
        }
        let oldest = self.sent.len().checked_sub(share);
        let due = oldest.map_or(now, |oldest| self.sent[oldest] + interval);
        Some(due.max(now))
    }

    /// When this gateway has to check whether the limit is over, because it sends no requests; `None` without
    /// a share.
    pub(super) fn check_due(&self) -> Option<Instant> {
        let last_contact = self.sent.back().copied().unwrap_or(self.since);
        (self.share > 0).then(|| last_contact + SHARE_INTERVAL)
    }

    /// Records that a request or a health check is sent.
    pub(super) fn record_sent(&mut self, now: Instant) {
        let longest = self.limit.request_interval().unwrap_or(SHARE_INTERVAL);
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= longest;
        while self.sent.front().is_some_and(is_over) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    fn sent_within(&self, now: Instant, interval: Duration) -> usize {
        let is_within = |at: &&Instant| now.saturating_duration_since(**at) < interval;
        self.sent.iter().rev().take_while(is_within).count()
    }
}
