//! Which gateways share the limits of endpoints, and who has which share.
//!
//! Load pattern: gateways start, are added and lose contact with the registry while endpoints have limits, so
//! the gateways read different lists of each other. A share is an exclusive right, so it works like a lease:
//!
//! - A gateway uses its shares only while its list is at most [`VIEW_VALIDITY`] old.
//! - One that joins waits for [`JOIN_DELAY`]. By then all lists without it have expired, and what was sent
//!   by them has left the window in which an endpoint counts.
//!
//! Gateways that join only take shares from others, so nobody else's share grows.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet_quota::SHARE_INTERVAL;

/// Age up to which a list of the gateways is used.
pub const VIEW_VALIDITY: Duration = Duration::from_secs(9);
/// Age at which a gateway with a share reads the list again. It leaves time for reads that fail.
pub const VIEW_REFRESH: Duration = Duration::from_secs(4);
/// Time from the first list that contains a gateway until it uses its shares.
pub const JOIN_DELAY: Duration = Duration::from_secs(14);
/// Time after its start within which a gateway that starts with the whole system is listed, or else
/// counts as one that joins.
const BOOTSTRAP_LISTING: Duration = Duration::from_secs(3);
/// Largest difference between the starts of gateways that start with the whole system.
const BOOTSTRAP_SPREAD: Duration = Duration::from_millis(500);
/// Time after its start from which on the list of a gateway that starts with the whole system has all
/// others that were listed in time.
const BOOTSTRAP_COMPLETE: Duration = Duration::from_secs(4);

const _: () =
    assert!(JOIN_DELAY.as_millis() >= VIEW_VALIDITY.as_millis() + SHARE_INTERVAL.as_millis());
const _: () = assert!(
    BOOTSTRAP_COMPLETE.as_millis() >= BOOTSTRAP_LISTING.as_millis() + BOOTSTRAP_SPREAD.as_millis()
);
const _: () = assert!(2 * VIEW_REFRESH.as_millis() < VIEW_VALIDITY.as_millis());

/// Seed of the hash by which gateways are ordered for an endpoint.
const RANK_SEED: u64 = 3;
/// Seed of the hash by which the uses of shares are spread in time.
const PHASE_SEED: u64 = 5;

/// When a gateway may use its shares.
#[derive(Clone, Copy, Debug)]
pub struct ShareStart {
    started_at: Instant,
    is_bootstrap: bool,
    listed_at: Option<Instant>,
}

impl ShareStart {
    /// For a gateway that has started `now`. `is_bootstrap` says that the whole system starts for the first
    /// time, so that no other gateway has a share.
    pub fn new(now: Instant, is_bootstrap: bool) -> Self {
        Self {
            started_at: now,
            is_bootstrap,
            listed_at: None,
        }
    }

    /// When the gateway has started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Whether the gateway was listed in time among those that start with the whole system.
    pub fn is_listed_in_time(&self) -> bool {
        let latest = self.started_at + BOOTSTRAP_LISTING;
        self.is_bootstrap && self.listed_at.is_some_and(|at| at <= latest)
    }

    /// Records that a list which was read `now` contains the gateway. Only the first one counts.
    pub fn record_listed(&mut self, now: Instant) {
        self.listed_at.get_or_insert(now);
    }

    /// As of when a list may be used for shares; `None` before the gateway is listed.
    pub fn usable_from(&self) -> Option<Instant> {
        self.usable_after(JOIN_DELAY)
    }

    /// Like [`usable_from`](Self::usable_from) for a right that a gateway which joins uses after `join_delay`.
    pub fn usable_after(&self, join_delay: Duration) -> Option<Instant> {
        let listed_at = self.listed_at?;
        Some(match self.is_listed_in_time() {
            true => self.started_at + BOOTSTRAP_COMPLETE,
            false => listed_at + join_delay,
        })
    }
}

/// The gateways that share the limits of endpoints, by one list of them.
#[derive(Clone, Debug)]
pub struct SharingGateways {
    own: Arc<str>,
    hosts: Vec<Arc<str>>,
    as_of: Instant,
    usable_from: Instant,
    quota_usable_from: Instant,
    long_usable_from: Instant,
}

impl SharingGateways {
    /// The view of the gateway on host `own` by a list of the hosts of all gateways that it began to read at
    /// `as_of`. Lists from before `usable_from` give it no share.
    pub fn new(own: Arc<str>, hosts: Vec<Arc<str>>, as_of: Instant, usable_from: Instant) -> Self {
        Self {
            own,
            hosts,
            as_of,
            usable_from,
            quota_usable_from: usable_from,
            long_usable_from: usable_from,
        }
    }

    /// Sets as of when a list gives the gateway parts of the quotas of organisations, if that differs.
    pub fn with_quota_start(self, quota_usable_from: Instant) -> Self {
        Self {
            quota_usable_from,
            ..self
        }
    }

    /// Sets as of when a list may be used for shares of which old lists are used for longer.
    pub fn with_long_usable_from(self, long_usable_from: Instant) -> Self {
        Self {
            long_usable_from,
            ..self
        }
    }

    /// Hosts of all gateways.
    pub fn hosts(&self) -> &[Arc<str>] {
        &self.hosts
    }

    /// When the read of the list began.
    pub fn as_of(&self) -> Instant {
        self.as_of
    }

    /// As of when a list gives the gateway parts of the quotas of organisations.
    pub fn quota_usable_from(&self) -> Instant {
        self.quota_usable_from
    }

    /// As of when a list may be used for shares of which old lists are used for longer.
    pub fn long_usable_from(&self) -> Instant {
        self.long_usable_from
    }

    /// Number of gateways.
    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// Host of the gateway whose view this is.
    pub fn own(&self) -> &Arc<str> {
        &self.own
    }

    /// When the list has to be read again by a gateway with a share.
    pub fn refresh_at(&self) -> Instant {
        (self.as_of + VIEW_REFRESH).max(self.usable_from)
    }

    /// Whether shares may be used now.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.as_of >= self.usable_from && now < self.as_of + VIEW_VALIDITY
    }

    /// Requests of this gateway out of `quota` that all gateways may send to an endpoint. The shares of all
    /// hosts of a list add up to the quota, and none grows when hosts are added.
    pub fn share(&self, endpoint: &str, quota: u32) -> u32 {
        let Some(rank) = self.rank(endpoint) else {
            return 0;
        };
        quota.saturating_sub(rank).div_ceil(self.hosts.len() as u32)
    }

    /// A number from 0 to 1 that differs between gateways and endpoints.
    pub(super) fn phase(&self, endpoint: &str) -> f64 {
        let seed = xxh3_64_with_seed(endpoint.as_bytes(), PHASE_SEED);
        let hash = xxh3_64_with_seed(self.own.as_bytes(), seed);
        hash as f64 / u64::MAX as f64
    }

    /// The hosts that have a share of `quota`, in the order of their rank.
    pub(super) fn holders(&self, endpoint: &str, quota: u32) -> Vec<Arc<str>> {
        let order = Order::of(endpoint);
        let mut hosts = self.hosts.clone();
        hosts.sort_by_cached_key(|host| order.key(host));
        hosts.truncate(quota as usize);
        hosts
    }

    /// Position of this gateway in the order of all of them; `None` if it is not listed.
    fn rank(&self, endpoint: &str) -> Option<u32> {
        let order = Order::of(endpoint);
        let own = order.key(&self.own);
        let is_listed = self.hosts.contains(&self.own);
        let ahead = self.hosts.iter().filter(|host| order.key(host) < own);
        is_listed.then(|| ahead.count() as u32)
    }
}

/// An order of all gateways, which differs between endpoints.
struct Order {
    seed: u64,
}

impl Order {
    fn of(endpoint: &str) -> Self {
        Self {
            seed: xxh3_64_with_seed(endpoint.as_bytes(), RANK_SEED),
        }
    }

    fn key(&self, host: &Arc<str>) -> (u64, Arc<str>) {
        (
            xxh3_64_with_seed(host.as_bytes(), self.seed),
            Arc::clone(host),
        )
    }
}
