//! What a gateway knows of the registry, from its own reads and from the gateway that it follows.

use std::time::Instant;

use super::{RelayAnswer, RelayPoll, RelayTimings};
use crate::core::placement::{DiscoveredEndpoint, DiscoveryChange, DiscoveryTable, Observation};

/// Knowledge that another gateway passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Relayed {
    as_of: Instant,
    hops: u32,
}

/// The registry as far as it is known, and as of when.
#[derive(Clone, Debug)]
pub struct RegistryView {
    timings: RelayTimings,
    table: DiscoveryTable,
    next: u64,
    as_of: Option<Instant>,
    relayed: Option<Relayed>,
    /// Until when a gateway that knows nothing else yet trusts its first answer.
    first_answer_until: Option<Instant>,
}

impl RegistryView {
    /// Nothing is known yet.
    pub fn new(timings: RelayTimings) -> Self {
        Self {
            timings,
            table: DiscoveryTable::new(),
            next: 0,
            as_of: None,
            relayed: None,
            first_answer_until: None,
        }
    }

    /// Place in the registry's history up to which it is known; 0 if nothing is.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// A moment whose state of the registry, at least, is known.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// All endpoints there are.
    pub fn endpoints(&self) -> Vec<DiscoveredEndpoint> {
        self.table.endpoints()
    }

    /// Takes in records that a read begun at `begun` gave, up to `next`.
    pub fn take_records(
        &mut self,
        now: Instant,
        begun: Instant,
        next: u64,
        records: Vec<Observation>,
    ) -> DiscoveryChange {
        self.table.record_registry_response(now);
        self.next = self.next.max(next);
        self.advance(begun);
        let changes = records.into_iter().map(|o| self.table.observe(now, o));
        changes.fold(DiscoveryChange::None, DiscoveryChange::or)
    }

    /// Takes in a whole listing up to `end`. Reading goes on at `next`.
    pub fn take_listing(
        &mut self,
        now: Instant,
        begun: Instant,
        (end, next): (u64, u64),
        listed: Vec<Observation>,
    ) -> DiscoveryChange {
        self.table.record_registry_response(now);
        self.next = self.next.max(next);
        self.advance(begun);
        self.table.apply_full_list(now, end, listed)
    }

    /// Takes in what the followed gateway answered to the question sent at `polled`.
    pub fn take_answer(
        &mut self,
        now: Instant,
        polled: Instant,
        answer: &RelayAnswer,
    ) -> DiscoveryChange {
        match answer.known_after {
            Some(after) => {
                // This host may have stood still in between, and its steady clock with it.
                let as_of = (polled + after).min(now);
                self.rely_on(now, as_of, answer.hops);
            }
            None if answer.is_current && self.is_first_answer() => {
                // Soon there is one that was read after its question.
                let until = polled + self.timings.stale_after(answer.hops);
                self.first_answer_until = Some(until);
            }
            None => {}
        }
        self.next = self.next.max(answer.next);
        let newest = answer.changes.iter().cloned();
        let changes = newest.map(|o| self.table.observe_newest(now, o));
        changes.fold(DiscoveryChange::None, DiscoveryChange::or)
    }

    fn is_first_answer(&self) -> bool {
        self.as_of.is_none() && self.first_answer_until.is_none()
    }

    fn rely_on(&mut self, now: Instant, as_of: Instant, hops: u32) {
        if self.relayed.is_some_and(|r| r.as_of >= as_of) {
            return;
        }
        self.relayed = Some(Relayed { as_of, hops });
        self.advance(as_of);
        // Old knowledge does not tell that the registry answers.
        if now.saturating_duration_since(as_of) < self.timings.stale_after(hops) {
            self.table.record_registry_response(now);
        }
    }

    /// Whether the registry was read since a question arrived at `received`, or the follower lacks
    /// a change that was known before.
    pub fn has_news(&self, received: Instant, poll: &RelayPoll) -> bool {
        let is_newer = self.as_of.is_some_and(|at| at > received);
        let is_ahead = self.next > poll.from;
        is_newer || is_ahead && self.table.has_changes_since(poll.from)
    }

    /// The answer to a question that arrived at `received`, without a document.
    pub fn answer(&self, now: Instant, received: Instant, poll: &RelayPoll) -> RelayAnswer {
        let changes = self.table.changes_since(poll.from);
        RelayAnswer {
            is_current: self.is_current(now),
            known_after: self
                .as_of
                .and_then(|at| at.checked_duration_since(received)),
            hops: self.hops(now) + 1,
            next: self.next,
            changes,
            document_version: 0,
            document: None,
        }
    }

    /// Gateways between the registry's reader and this one; 0 if this one reads.
    pub fn hops(&self, now: Instant) -> u32 {
        let fresh = self.relayed.filter(|_| self.relayed_until(now).is_some());
        fresh.map_or(0, |r| r.hops)
    }

    /// Until when what was passed on can be relied on; none if this gateway has to read.
    pub fn relayed_until(&self, now: Instant) -> Option<Instant> {
        let relied_on = |r: Relayed| r.as_of + self.timings.stale_after(r.hops);
        let until = self.relayed.map(relied_on).max(self.first_answer_until);
        until.filter(|until| *until > now)
    }

    /// When a read that is due has to have mended what is stale; the past if it has not.
    pub fn mended_by(&self, now: Instant) -> Instant {
        let stale_at = |at: Instant| at + self.timings.stale_after(self.hops(now));
        self.as_of.map_or(now, stale_at) + self.timings.read_grace()
    }

    /// Whether this gateway relies on what it knows.
    pub fn is_current(&self, now: Instant) -> bool {
        let read = self.as_of.map(|at| at + self.timings.stale_after(0));
        self.relayed_until(now).is_some() || read.is_some_and(|until| until > now)
    }

    /// Drops entries whose time after an outage is over.
    pub fn expire(&mut self, now: Instant) -> DiscoveryChange {
        self.table.expire(now)
    }

    /// When the next entry is dropped unless it registers again.
    pub fn next_lapse(&self) -> Option<Instant> {
        self.table.next_expiry()
    }

    fn advance(&mut self, as_of: Instant) {
        if self.as_of.is_none_or(|known| known < as_of) {
            self.as_of = Some(as_of);
        }
    }
}
