//! One gateway's view of the registry, built from its own reads and from its upstream's responses.

use std::time::Instant;

use super::{RelayPoll, RelayResponse, RelayTimings};
use crate::core::placement::{DiscoveredEndpoint, DiscoveryChange, DiscoveryTable, Observation};

/// Freshness of the data received from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RelayedState {
    as_of: Instant,
    hops: u32,
}

/// The known endpoints, and the instant as of which they reflect the registry.
#[derive(Clone, Debug)]
pub struct RegistryView {
    timings: RelayTimings,
    table: DiscoveryTable,
    next_offset: u64,
    as_of: Option<Instant>,
    relayed: Option<RelayedState>,
    /// Until when a gateway that has not read the registry yet relies on its first response.
    first_response_until: Option<Instant>,
}

impl RegistryView {
    /// An empty view as of no instant.
    pub fn new(timings: RelayTimings) -> Self {
        Self {
            timings,
            table: DiscoveryTable::new(),
            next_offset: 0,
            as_of: None,
            relayed: None,
            first_response_until: None,
        }
    }

    /// Registry offset at which the next read continues; 0 if nothing was read or received.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The view reflects the registry as of this instant or later; `None` if that is not known.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// All known endpoints, in the order of their ids.
    pub fn endpoints(&self) -> Vec<DiscoveredEndpoint> {
        self.table.endpoints()
    }

    /// Applies the records of a read that started at `read_started`, up to `next_offset`
    /// (exclusive).
    pub fn apply_records(
        &mut self,
        now: Instant,
        read_started: Instant,
        next_offset: u64,
        records: Vec<Observation>,
    ) -> DiscoveryChange {
        self.table.record_registry_response(now);
        self.next_offset = self.next_offset.max(next_offset);
        self.advance_as_of(read_started);
        let changes = records.into_iter().map(|o| self.table.observe(now, o));
        changes.fold(DiscoveryChange::None, DiscoveryChange::or)
    }

    /// Applies a full list that reflects the registry up to offset `end`, from a read that started
    /// at `read_started`. The next read continues at `next_offset`.
    pub fn apply_full_list(
        &mut self,
        now: Instant,
        read_started: Instant,
        (end, next_offset): (u64, u64),
        listed: Vec<Observation>,
    ) -> DiscoveryChange {
        self.table.record_registry_response(now);
        self.next_offset = self.next_offset.max(next_offset);
        self.advance_as_of(read_started);
        self.table.apply_full_list(now, end, listed)
    }

    /// Applies the upstream's response to the poll that this gateway sent at `polled_at`.
    pub fn apply_response(
        &mut self,
        now: Instant,
        polled_at: Instant,
        response: &RelayResponse,
    ) -> DiscoveryChange {
        match response.as_of_after_poll {
            Some(after) => {
                // This host, and with it its monotonic clock, may have been suspended in between.
                let as_of = (polled_at + after).min(now);
                self.record_relayed(now, as_of, response.hops);
            }
            None if response.is_current && self.is_first_response() => {
                // A response that reflects a read after its poll follows soon.
                let until = polled_at + self.timings.stale_after(response.hops);
                self.first_response_until = Some(until);
            }
            None => {}
        }
        self.next_offset = self.next_offset.max(response.next_offset);
        let newest = response.changes.iter().cloned();
        let changes = newest.map(|o| self.table.observe_newest(now, o));
        changes.fold(DiscoveryChange::None, DiscoveryChange::or)
    }

    fn is_first_response(&self) -> bool {
        self.as_of.is_none() && self.first_response_until.is_none()
    }

    fn record_relayed(&mut self, now: Instant, as_of: Instant, hops: u32) {
        if self.relayed.is_some_and(|r| r.as_of >= as_of) {
            return;
        }
        self.relayed = Some(RelayedState { as_of, hops });
        self.advance_as_of(as_of);
        // Stale data does not show that the registry is available.
        if now.saturating_duration_since(as_of) < self.timings.stale_after(hops) {
            self.table.record_registry_response(now);
        }
    }

    /// Whether the view reflects a read after the poll arrived at `received`, or holds a change that
    /// the follower lacks.
    pub fn has_update(&self, received: Instant, poll: &RelayPoll) -> bool {
        let is_newer = self.as_of.is_some_and(|at| at > received);
        let is_ahead = self.next_offset > poll.from_offset;
        is_newer || is_ahead && self.table.has_changes_since(poll.from_offset)
    }

    /// The response, without a document, to a poll that arrived at `received`.
    pub fn response(&self, now: Instant, received: Instant, poll: &RelayPoll) -> RelayResponse {
        let changes = self.table.changes_since(poll.from_offset);
        RelayResponse {
            is_current: self.is_current(now),
            as_of_after_poll: self
                .as_of
                .and_then(|at| at.checked_duration_since(received)),
            hops: self.hops(now) + 1,
            next_offset: self.next_offset,
            changes,
            document_version: 0,
            document: None,
        }
    }

    /// Number of relay hops between this gateway and the one that read the registry; 0 if this
    /// gateway reads it.
    pub fn hops(&self, now: Instant) -> u32 {
        let fresh = self
            .relayed
            .filter(|_| self.relay_fresh_until(now).is_some());
        fresh.map_or(0, |r| r.hops)
    }

    /// Until when the relayed data is fresh; `None` if this gateway has to read the registry.
    pub fn relay_fresh_until(&self, now: Instant) -> Option<Instant> {
        let stale_at = |r: RelayedState| r.as_of + self.timings.stale_after(r.hops);
        let until = self.relayed.map(stale_at).max(self.first_response_until);
        until.filter(|until| *until > now)
    }

    /// When a due read should have refreshed the view; in the past if the view has been stale for
    /// longer than the read grace.
    pub fn refresh_deadline(&self, now: Instant) -> Instant {
        let stale_at = |at: Instant| at + self.timings.stale_after(self.hops(now));
        self.as_of.map_or(now, stale_at) + self.timings.read_grace()
    }

    /// Whether the view, read or relayed, is fresh enough to be used.
    pub fn is_current(&self, now: Instant) -> bool {
        let read_fresh_until = self.as_of.map(|at| at + self.timings.stale_after(0));
        self.relay_fresh_until(now).is_some() || read_fresh_until.is_some_and(|until| until > now)
    }

    /// Drops expired entries: those that vanished during a registry outage and have not registered
    /// again in time.
    pub fn expire(&mut self, now: Instant) -> DiscoveryChange {
        self.table.expire(now)
    }

    /// When the next entry expires unless it registers again; `None` if no entry is to expire.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.table.next_expiry()
    }

    fn advance_as_of(&mut self, as_of: Instant) {
        if self.as_of.is_none_or(|known| known < as_of) {
            self.as_of = Some(as_of);
        }
    }
}
