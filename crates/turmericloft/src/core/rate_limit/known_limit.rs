//! The limit of one endpoint as one gateway knows it, and the gateway's use of its share.

use std::time::{Duration, Instant};

use super::{
    LimitChange, LimitEvent, RateLimit, SharingGateways, fleet_quota::SHARE_INTERVAL,
    sent_times::SentTimes, silence::SilenceClaim,
};
use crate::core::placement::DiscoveredEndpoint;

/// Time in which requests may use a share before a health check does.
const REQUESTS_FIRST: Duration = Duration::from_millis(1_500);
/// Time without requests and health checks after which a gateway with a share checks whether the limit is over.
pub const CHECK_AFTER: Duration = SHARE_INTERVAL.saturating_add(REQUESTS_FIRST);

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

    /// Applies the present limit and view of the fleet. The first requests of a new share are spread over an
    /// interval, as all gateways learn of a limit at about the same time.
    pub(super) fn update_share(&mut self, now: Instant, sharing: Option<&SharingGateways>) {
        let quota = self.limit.quota();
        let before = self.share;
        self.share = sharing.map_or(0, |s| s.share(&self.endpoint.id, quota));
        let Some(sharing) = sharing.filter(|_| before == 0) else {
            return;
        };
        let phase = sharing.phase(&self.endpoint.id);
        for n in (0..self.share).rev() {
            let part = (phase + f64::from(n)) / f64::from(self.share);
            let before_now = SHARE_INTERVAL.mul_f64(part);
            let Some(at) = now.checked_sub(before_now) else {
                continue;
            };
            self.contacts.add(at, SHARE_INTERVAL);
        }
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
    /// a share. A check is not made while it would keep back a request that is due soon.
    pub(super) fn check_due(&self) -> Option<Instant> {
        let last_contact = self.contacts.nth_last(1).unwrap_or(self.since);
        let due = (self.share > 0).then(|| last_contact + CHECK_AFTER)?;
        let request_due = self.request_due(last_contact);
        let soon = request_due.filter(|at| *at < due + SHARE_INTERVAL);
        Some(soon.map_or(due, |at| due.max(at + REQUESTS_FIRST)))
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
