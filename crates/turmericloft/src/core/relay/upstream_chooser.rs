//! Which gateway is followed.
//!
//! Load pattern: a hundred gateways start together, and any number of them is lost at once. The
//! gateways of a zone form a tree by a hash of their names; who loses the one before it spreads
//! over all that go before it, and who finds none reads the registry.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RelayMember;

/// Followers of one gateway while all are there: few enough that a document reaches them over the
/// slowest link within a fraction of a second.
const FAN_OUT: usize = 6;
/// Time for which a gateway that could not be followed is left alone.
const FAILED_FOR: Duration = Duration::from_secs(10);
/// Time for which a gateway that knows nothing current is left alone: others may know more.
const STALE_FOR: Duration = Duration::from_secs(3);

/// Decides whom a gateway follows.
#[derive(Clone, Debug)]
pub struct UpstreamChooser {
    host: Arc<str>,
    zone: Arc<str>,
    /// Gateways of the zone that go before this one, the one that is liked best first.
    candidates: Vec<RelayMember>,
    failed_until: HashMap<Arc<str>, Instant>,
}

impl UpstreamChooser {
    /// Chooses for the gateway on `host` in `zone`, which knows no other one yet.
    pub fn new(host: Arc<str>, zone: Arc<str>) -> Self {
        Self {
            host,
            zone,
            candidates: Vec::new(),
            failed_until: HashMap::new(),
        }
    }

    /// Takes in all gateways there are, those of other zones and this one too.
    pub fn set_members(&mut self, members: &[RelayMember]) {
        let own = rank(&self.host);
        let mut before: Vec<_> = members
            .iter()
            .filter(|m| m.zone == self.zone && rank(&m.host) < own)
            .cloned()
            .collect();
        before.sort_by(|a, b| rank(&a.host).cmp(&rank(&b.host)));
        let parent = before.len().checked_sub(1).map(|last| last / FAN_OUT);
        let parent = parent.map(|at| before.remove(at));
        before.sort_by_key(|m| affinity(&self.host, &m.host));
        self.candidates = parent.into_iter().chain(before).collect();
        let known = &self.candidates;
        self.failed_until
            .retain(|host, _| known.iter().any(|m| m.host == *host));
    }

    /// The gateway to follow now; none if this one has to read the registry.
    pub fn upstream(&self, now: Instant) -> Option<&RelayMember> {
        let failed = |m: &RelayMember| self.failed_until.get(&m.host).is_some_and(|t| *t > now);
        self.candidates.iter().find(|m| !failed(m))
    }

    /// A gateway could not be followed.
    pub fn record_failure(&mut self, now: Instant, host: &str) {
        self.failed_until.insert(host.into(), now + FAILED_FOR);
    }

    /// A gateway answers and knows nothing current.
    pub fn record_stale(&mut self, now: Instant, host: &str) {
        self.failed_until.insert(host.into(), now + STALE_FOR);
    }

    /// When a gateway that could not be followed is tried again.
    pub fn next_retry(&self, now: Instant) -> Option<Instant> {
        self.failed_until
            .values()
            .copied()
            .filter(|t| *t > now)
            .min()
    }
}

/// Place in the order of all gateways; the name settles it where hashes are the same.
fn rank(host: &str) -> (u64, &str) {
    (xxh3_64_with_seed(host.as_bytes(), 0), host)
}

fn affinity(follower: &str, host: &str) -> u64 {
    let seed = xxh3_64_with_seed(follower.as_bytes(), 1);
    xxh3_64_with_seed(host.as_bytes(), seed)
}
