//! Which gateways own parts of the allowances of organisations.
//!
//! Load pattern: gateways start, stop and lose contact with the store, so they read different lists of each other.
//! A part is an exclusive right and works like a lease:
//!
//! - A gateway owns parts only while its list is at most [`LIST_VALIDITY`] old.
//! - One that joins waits for [`QuotaBounds::join_delay`]. By then all lists without it have expired, and what was
//!   granted by them has left the window.
//! - A gateway that is missing from a list counts for as long, since it may go by an older list itself.
//!
//! So every owner is in the lists of all others while it owns, and the parts add up to one allowance.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{LIST_REFRESH, LIST_VALIDITY, MAX_OWNERS, QuotaBounds};
use crate::core::rate_limit::SharingGateways;

/// Seed of the hash by which gateways are ordered for an organisation.
const OWNER_SEED: u64 = 6;

/// The gateways that one of them has read of.
#[derive(Clone, Debug)]
pub(super) struct QuotaGateways {
    own: Arc<str>,
    join_delay: Duration,
    /// Each host, with when the first list that lacks it was read; `None` while it is listed.
    hosts: HashMap<Arc<str>, Option<Instant>>,
    /// When the read of the latest list began; `None` before the first one.
    as_of: Option<Instant>,
    /// As of when a list gives this gateway parts.
    usable_from: Option<Instant>,
    /// By the known hosts; computed when needed.
    ownerships: HashMap<Arc<str>, Arc<Ownership>>,
}

/// Who owns the allowance of one organisation.
#[derive(Debug)]
struct Ownership {
    /// Hosts that own a part by the latest list.
    owners: Vec<Arc<str>>,
    /// Position of this gateway among all that may own a part by any list; `None` if it is not listed.
    rank: Option<usize>,
}

impl QuotaGateways {
    pub(super) fn new(own: Arc<str>, bounds: &QuotaBounds) -> Self {
        Self {
            own,
            join_delay: bounds.join_delay(),
            hosts: HashMap::new(),
            as_of: None,
            usable_from: None,
            ownerships: HashMap::new(),
        }
    }

    pub(super) fn own(&self) -> &Arc<str> {
        &self.own
    }

    /// Records a list. One that is older than the latest is ignored.
    pub(super) fn record_list(&mut self, list: &SharingGateways) {
        let as_of = list.as_of();
        if self.as_of.is_some_and(|known| as_of < known) {
            return;
        }
        for missing_since in self.hosts.values_mut() {
            missing_since.get_or_insert(as_of);
        }
        let listed = list.hosts().iter();
        self.hosts.extend(listed.map(|h| (Arc::clone(h), None)));
        let join_delay = self.join_delay;
        self.hosts
            .retain(|_, missing_since| missing_since.is_none_or(|at| as_of < at + join_delay));
        self.ownerships.clear();
        self.as_of = Some(as_of);
        self.usable_from = Some(list.quota_usable_from());
    }

    /// Whether this gateway may own parts now.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        let (Some(as_of), Some(usable_from)) = (self.as_of, self.usable_from) else {
            return false;
        };
        as_of >= usable_from && now < as_of + LIST_VALIDITY
    }

    /// When the list has to be read again; `None` before the first one.
    pub(super) fn refresh_at(&self) -> Option<Instant> {
        let at = self.as_of? + LIST_REFRESH;
        Some(
            match self.usable_from.filter(|from| Some(*from) > self.as_of) {
                Some(usable_from) => at.min(usable_from),
                None => at,
            },
        )
    }

    /// Requests out of `allowance` that this gateway may grant in a window now. The parts of all gateways of a list
    /// add up to the allowance, and none grows when hosts are added.
    pub(super) fn part(&mut self, now: Instant, organisation: &str, allowance: u32) -> u32 {
        if !self.is_usable(now) {
            return 0;
        }
        let owners = self.hosts.len().min(MAX_OWNERS);
        match self.ownership(organisation).rank {
            Some(rank) if rank < owners => allowance
                .saturating_sub(rank as u32)
                .div_ceil(owners as u32),
            _ => 0,
        }
    }

    /// Hosts that own a part by the latest list.
    pub(super) fn owners(&mut self, organisation: &str) -> Vec<Arc<str>> {
        self.ownership(organisation).owners.clone()
    }

    fn ownership(&mut self, organisation: &str) -> Arc<Ownership> {
        if let Some(known) = self.ownerships.get(organisation) {
            return Arc::clone(known);
        }
        let mut hosts: Vec<_> = self.hosts.iter().collect();
        hosts.sort_by_cached_key(|(host, _)| order_key(organisation, host));
        let is_own = |(host, missing): &(&Arc<str>, &Option<Instant>)| {
            **host == self.own && missing.is_none()
        };
        let rank = hosts.iter().position(is_own);
        let listed = hosts.iter().filter(|(_, missing)| missing.is_none());
        let owners = listed.take(MAX_OWNERS).map(|(host, _)| Arc::clone(host));
        let computed = Arc::new(Ownership {
            owners: owners.collect(),
            rank,
        });
        let entry = (organisation.into(), Arc::clone(&computed));
        self.ownerships.extend([entry]);
        computed
    }
}

/// Position of a host in the order of all of them, which differs between organisations.
fn order_key(organisation: &str, host: &Arc<str>) -> (u64, Arc<str>) {
    let seed = xxh3_64_with_seed(organisation.as_bytes(), OWNER_SEED);
    (xxh3_64_with_seed(host.as_bytes(), seed), Arc::clone(host))
}
