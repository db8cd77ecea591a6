//! Selection of the gateway to follow.
//!
//! Load pattern: a hundred gateways start together, and any number of them fails at once. The
//! gateways of a zone form a tree, ordered by a hash of their host names. The followers of a failed
//! gateway spread over all gateways that precede them, and a gateway without a usable upstream
//! reads the registry itself.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RelayMember;

/// Followers of one gateway while no gateway has failed. Few enough that a document reaches all of
/// them over the slowest link within a fraction of a second.
const FAN_OUT: usize = 6;
/// Time for which an upstream is not selected after a failure.
const FAILED_BACKOFF: Duration = Duration::from_secs(10);
/// Time for which an upstream with stale data is not selected; others may have fresher data.
const STALE_BACKOFF: Duration = Duration::from_secs(3);

/// Selects the upstream of one gateway.
#[derive(Clone, Debug)]
pub struct UpstreamChooser {
    host: Arc<str>,
    zone: Arc<str>,
    /// Gateways of the zone that precede this one, in order of preference.
    candidates: Vec<RelayMember>,
    excluded_until: HashMap<Arc<str>, Instant>,
}

impl UpstreamChooser {
    /// Selects for the gateway on `host` in `zone`. There are no candidates before `set_members`.
    pub fn new(host: Arc<str>, zone: Arc<str>) -> Self {
        Self {
            host,
            zone,
            candidates: Vec::new(),
            excluded_until: HashMap::new(),
        }
    }

    /// Replaces the candidates. `members` are all gateways, including those of other zones and this
    /// one.
    pub fn set_members(&mut self, members: &[RelayMember]) {
        let own = rank(&self.host);
        let mut predecessors: Vec<_> = members
            .iter()
            .filter(|m| m.zone == self.zone && rank(&m.host) < own)
            .cloned()
            .collect();
        predecessors.sort_by(|a, b| rank(&a.host).cmp(&rank(&b.host)));
        let parent = predecessors.len().checked_sub(1).map(|last| last / FAN_OUT);
        let parent = parent.map(|index| predecessors.remove(index));
        predecessors.sort_by_key(|m| rendezvous_weight(&self.host, &m.host));
        self.candidates = parent.into_iter().chain(predecessors).collect();
        let known = &self.candidates;
        self.excluded_until
            .retain(|host, _| known.iter().any(|m| m.host == *host));
    }

    /// The gateway to follow now; `None` if this gateway has to read the registry.
    pub fn upstream(&self, now: Instant) -> Option<&RelayMember> {
        let excluded = |m: &RelayMember| self.excluded_until.get(&m.host).is_some_and(|t| *t > now);
        self.candidates.iter().find(|m| !excluded(m))
    }

    /// Records that following `host` failed, and excludes it for `FAILED_BACKOFF`.
    pub fn record_failure(&mut self, now: Instant, host: &str) {
        self.excluded_until
            .insert(host.into(), now + FAILED_BACKOFF);
    }

    /// Records that `host` responds with stale data, and excludes it for `STALE_BACKOFF`.
    pub fn record_stale(&mut self, now: Instant, host: &str) {
        self.excluded_until.insert(host.into(), now + STALE_BACKOFF);
    }

    /// When the next excluded gateway can be selected again; `None` if none is excluded.
    pub fn next_retry(&self, now: Instant) -> Option<Instant> {
        self.excluded_until
            .values()
            .copied()
            .filter(|t| *t > now)
            .min()
    }
}

/// Position in the order of all gateways. The host name breaks ties between equal hashes.
fn rank(host: &str) -> (u64, &str) {
    (xxh3_64_with_seed(host.as_bytes(), 0), host)
}

/// Sort key that differs between followers, so that they spread over the candidates.
fn rendezvous_weight(follower: &str, host: &str) -> u64 {
    let seed = xxh3_64_with_seed(follower.as_bytes(), 1);
    xxh3_64_with_seed(host.as_bytes(), seed)
}
