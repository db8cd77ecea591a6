//! Selection of the gateway to follow.
//!
//! Load pattern: a hundred gateways start together, and any number of them fails at once. The
//! gateways of a zone form a tree, ordered by their links and a hash of their host names. The followers of a failed
//! gateway spread over all gateways that precede them, and a gateway without a usable upstream
//! reads the registry itself. While the registry is unavailable to all of them, each waits at its parent,
//! so that the first gateway that reads it again feeds the whole tree at once.

use std::{
    cmp::Reverse,
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
/// Number of upstreams found stale within that time from which on the registry counts as unavailable
/// to all, if it is unavailable to this gateway too.
const MAX_STALE: usize = 4;

/// Selects the upstream of one gateway.
#[derive(Clone, Debug)]
pub struct UpstreamChooser {
    host: Arc<str>,
    zone: Arc<str>,
    link_mbps: u32,
    /// Gateways of the zone that precede this one, in order of preference.
    candidates: Vec<RelayMember>,
    excluded: HashMap<Arc<str>, Exclusion>,
}

/// Why a gateway is not selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    Failed,
    Stale,
}

/// The last exclusion of a gateway, which may be over.
#[derive(Clone, Copy, Debug)]
struct Exclusion {
    cause: Cause,
    until: Instant,
}

impl UpstreamChooser {
    /// Selects for the gateway on `host` in `zone`, whose link carries so much. There are no candidates before
    /// `set_members`.
    pub fn new(host: Arc<str>, zone: Arc<str>, link_mbps: u32) -> Self {
        Self {
            host,
            zone,
            link_mbps,
            candidates: Vec::new(),
            excluded: HashMap::new(),
        }
    }

    /// Replaces the candidates. `members` are all gateways, including those of other zones and this
    /// one.
    pub fn set_members(&mut self, members: &[RelayMember]) {
        let own = rank(&self.host, self.link_mbps);
        let rank_of = |m: &RelayMember| rank(&m.host, m.link_mbps);
        let mut predecessors: Vec<_> = members
            .iter()
            .filter(|m| m.zone == self.zone && rank_of(m) < own)
            .cloned()
            .collect();
        predecessors.sort_by_key(rank_of);
        let parent = predecessors.len().checked_sub(1).map(|last| last / FAN_OUT);
        let parent = parent.map(|index| predecessors.remove(index));
        predecessors.sort_by_key(|m| rendezvous_weight(&self.host, &m.host));
        self.candidates = parent.into_iter().chain(predecessors).collect();
        let known = &self.candidates;
        self.excluded
            .retain(|host, _| known.iter().any(|m| m.host == *host));
    }

    /// The gateway to follow now; `None` if this gateway has to read the registry. The parent in the tree
    /// comes first, then those that were never excluded, then those whose exclusion ended first.
    pub fn upstream(&self, now: Instant) -> Option<&RelayMember> {
        let usable = self.candidates.iter().enumerate();
        let usable = usable.filter(|(_, m)| self.exclusion(now, m).is_none());
        let preferred = usable.min_by_key(|(index, m)| {
            let last = self.excluded.get(&m.host).map(|e| e.until);
            (*index > 0, last, *index)
        });
        preferred.map(|(_, m)| m)
    }

    /// The gateway at which to wait for fresh data, while the registry is unavailable to this gateway and
    /// to several others, or to all that can be reached; `None` while there is one to try.
    pub fn stale_upstream(&self, now: Instant) -> Option<&RelayMember> {
        let is_stale = |m: &&RelayMember| self.exclusion(now, m) == Some(Cause::Stale);
        let mut stale = self.candidates.iter().filter(is_stale);
        let first = stale.next()?;
        let count = 1 + stale.count();
        (count >= MAX_STALE || self.upstream(now).is_none()).then_some(first)
    }

    /// Records that following `host` failed, and excludes it for `FAILED_BACKOFF`.
    pub fn record_failure(&mut self, now: Instant, host: &str) {
        self.exclude(host, Cause::Failed, now + FAILED_BACKOFF);
    }

    /// Records that `host` responds with stale data, and excludes it for `STALE_BACKOFF`.
    pub fn record_stale(&mut self, now: Instant, host: &str) {
        self.exclude(host, Cause::Stale, now + STALE_BACKOFF);
    }

    /// Records that the data of `host` is fresh again.
    pub fn record_current(&mut self, host: &str) {
        self.excluded.remove(host);
    }

    fn exclude(&mut self, host: &str, cause: Cause, until: Instant) {
        self.excluded
            .insert(host.into(), Exclusion { cause, until });
    }

    /// Why a gateway is excluded now; `None` if it is not.
    fn exclusion(&self, now: Instant, member: &RelayMember) -> Option<Cause> {
        let exclusion = self.excluded.get(&member.host)?;
        (exclusion.until > now).then_some(exclusion.cause)
    }

    /// When the next excluded gateway can be selected again; `None` if none is excluded.
    pub fn next_retry(&self, now: Instant) -> Option<Instant> {
        let ends = self.excluded.values().map(|e| e.until);
        ends.filter(|t| *t > now).min()
    }
}

/// Position in the order of all gateways: those with the fastest links first, since a document passes through them to
/// the others. The host name breaks ties between equal hashes. An entry that gives no link puts its gateway behind its
/// own view of itself, which cannot make a cycle.
fn rank(host: &Arc<str>, link_mbps: u32) -> (Reverse<u32>, u64, Arc<str>) {
    let hash = xxh3_64_with_seed(host.as_bytes(), 0);
    (Reverse(link_mbps), hash, Arc::clone(host))
}

/// Sort key that differs between followers, so that they spread over the candidates.
fn rendezvous_weight(follower: &str, host: &str) -> u64 {
    let seed = xxh3_64_with_seed(follower.as_bytes(), 1);
    xxh3_64_with_seed(host.as_bytes(), seed)
}
