//! One gateway's view of the registry, built from its own reads and from its upstream's responses.

use std::time::Instant;

use super::{
    EraChange, PollOffset, RelayPoll, RelayResponse, RelayTimings, skipped_history::SkippedHistory,
};
use crate::core::{
    evacuation::EvacuationList,
    placement::{
        DiscoveredEndpoint, DiscoveryChange, DiscoveryTable, Observation, RegistryList,
        RegistryPosition, RegistryReturn,
    },
    saturating::instant_after,
};

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
    next: RegistryPosition,
    /// Parts of the registry's history that a list has skipped.
    skipped: SkippedHistory,
    as_of: Option<Instant>,
    relayed: Option<RelayedState>,
    /// Until when a gateway that has not read the registry yet relies on its first response.
    first_response_until: Option<Instant>,
    /// The last change of era, until all entries that it retained are registered again or dropped.
    era_change: Option<EraChange>,
}

impl RegistryView {
    /// An empty view as of no instant.
    pub fn new(timings: RelayTimings) -> Self {
        Self {
            timings,
            table: DiscoveryTable::new(),
            next: RegistryPosition::default(),
            skipped: SkippedHistory::default(),
            as_of: None,
            relayed: None,
            first_response_until: None,
            era_change: None,
        }
    }

    /// Position in the registry at which the next read continues; the lowest one if nothing was read
    /// or received.
    pub fn next(&self) -> RegistryPosition {
        self.next
    }

    /// The view reflects the registry as of this instant or later; `None` if that is not known.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    /// All known endpoints, in the order of their ids.
    pub fn endpoints(&self) -> Vec<DiscoveredEndpoint> {
        self.table.endpoints()
    }

    /// Applies the records of a read that started at `read_started`, up to `next` (exclusive).
    /// Records of another era than the known one change nothing: an earlier one is over, and a
    /// later one begins with a full list.
    pub fn apply_records(
        &mut self,
        now: Instant,
        read_started: Instant,
        next: RegistryPosition,
        records: Vec<Observation>,
    ) -> DiscoveryChange {
        if next.era != self.next.era {
            return DiscoveryChange::None;
        }
        self.table.record_registry_response(now, next);
        self.next = self.next.max(next);
        self.advance_as_of(read_started);
        let changes = records.into_iter().map(|o| self.table.observe(now, o));
        changes.fold(DiscoveryChange::None, DiscoveryChange::or)
    }

    /// Applies a full list from a read that started at `read_started`. A list of an earlier era
    /// changes nothing.
    pub fn apply_full_list(
        &mut self,
        now: Instant,
        read_started: Instant,
        list: RegistryList,
    ) -> DiscoveryChange {
        if list.era < self.next.era {
            return DiscoveryChange::None;
        }
        if let Some(as_of) = self.as_of.filter(|_| list.era > self.next.era) {
            // The registry has returned after the last data of the era before.
            let limit = as_of + self.timings.recovery().retention_limit();
            self.table.limit_retention(limit);
        }
        self.table
            .record_registry_response(now, list.next_position());
        let before = self.next;
        self.advance_by_list(list.next_position());
        self.advance_as_of(read_started);
        let change = self.table.apply_full_list(now, list);
        self.record_era_change(before);
        change
    }

    /// Whether a response can be applied: it is not of an earlier era, and a later one begins with
    /// a full list.
    pub fn accepts(&self, response: &RelayResponse) -> bool {
        response.next.era == self.next.era
            || response.next.era > self.next.era && response.is_full_list
    }

    /// Applies the upstream's response to the poll that this gateway sent at `polled_at`. A response
    /// that is not [accepted](Self::accepts) changes nothing and shows nothing of freshness.
    pub fn apply_response(
        &mut self,
        now: Instant,
        polled_at: Instant,
        response: &RelayResponse,
    ) -> DiscoveryChange {
        if !self.accepts(response) {
            return DiscoveryChange::None;
        }
        // This host, and with it its monotonic clock, may have been suspended in between.
        let as_of = response
            .as_of_after_poll
            .map(|after| instant_after(polled_at, after).min(now));
        let stale_after = self.timings.stale_after(response.hops);
        let is_fresh = as_of.is_some_and(|at| now.saturating_duration_since(at) < stale_after);
        let retained_until = response.retained_until;
        let retained_until = retained_until.and_then(|until| until.from_poll(polled_at));
        self.table
            .record_relayed(now, response.next, is_fresh, retained_until);
        match as_of {
            Some(as_of) => self.advance_relayed(as_of, response.hops),
            None if response.is_current && self.is_first_response() => {
                // A response that reflects a read after its poll follows soon.
                let until = polled_at + self.timings.stale_after(response.hops);
                self.first_response_until = Some(until);
            }
            None => {}
        }
        let before = self.next;
        if response.is_full_list || before == RegistryPosition::default() {
            self.advance_by_list(response.next);
        } else {
            self.next = self.next.max(response.next);
        }
        let newest = response.changes.iter().cloned();
        if response.is_full_list {
            let list = RegistryList {
                era: response.next.era,
                end: response.next.offset,
                next_offset: response.next.offset,
                observations: newest.collect(),
            };
            let change = self.table.apply_full_list(now, list);
            self.record_era_change(before);
            return change;
        }
        let changes = newest.map(|o| self.table.observe_newest(now, o));
        changes.fold(DiscoveryChange::None, DiscoveryChange::or)
    }

    /// Notes a change of era since `before`; the first data of a gateway is none.
    fn record_era_change(&mut self, before: RegistryPosition) {
        if self.next.era == before.era || before == RegistryPosition::default() {
            return;
        }
        self.era_change = Some(EraChange {
            before: before.era,
            era: self.next.era,
            retained: self.table.retained(),
            dropped: 0,
        });
    }

    /// The last change of era, once no entry is retained any more; it is returned once.
    pub fn take_completed_era_change(&mut self) -> Option<EraChange> {
        self.era_change.take_if(|_| self.table.retained() == 0)
    }

    fn is_first_response(&self) -> bool {
        self.as_of.is_none() && self.first_response_until.is_none()
    }

    fn advance_relayed(&mut self, as_of: Instant, hops: u32) {
        if self.relayed.is_none_or(|r| r.as_of < as_of) {
            self.relayed = Some(RelayedState { as_of, hops });
            self.advance_as_of(as_of);
        }
    }

    /// Records that a read which began at `started` has failed: the registry was out of reach then.
    pub fn record_failed_read(&mut self, started: Instant) {
        let limit = started + self.timings.recovery().retention_limit();
        self.table.record_out_of_reach(started, limit);
    }

    /// Records that the host has resumed from a suspension. What was read before is old, as after a failed read.
    pub fn record_resume(&mut self, now: Instant) {
        self.record_failed_read(now);
    }

    /// What was found at the end of the last time without data, once.
    pub fn take_registry_return(&mut self) -> Option<RegistryReturn> {
        self.table.take_registry_return()
    }

    /// Whether the view reflects a read after the poll arrived at `received`, or holds a change that
    /// the follower lacks.
    pub fn has_update(&self, received: Instant, poll: &RelayPoll) -> bool {
        let is_newer = self.as_of.is_some_and(|at| at > received);
        let is_ahead = self.next > poll.from;
        let has_changes =
            || self.next.era > poll.from.era || self.table.has_changes_since(poll.from);
        is_newer || is_ahead && has_changes()
    }

    /// The response, without a document, to a poll that arrived at `received`.
    pub fn response(&self, now: Instant, received: Instant, poll: &RelayPoll) -> RelayResponse {
        let is_full_list = self.next.era > poll.from.era || self.skipped.contains(poll.from);
        let changes = if is_full_list {
            self.table.full_list()
        } else {
            self.table.changes_since(poll.from)
        };
        RelayResponse {
            // A follower that knows a later era shows that this gateway's data is old.
            is_current: self.is_current(now) && poll.from.era <= self.next.era,
            as_of_after_poll: self
                .as_of
                .and_then(|at| at.checked_duration_since(received)),
            hops: self.hops(now).saturating_add(1),
            next: self.next,
            is_full_list,
            changes,
            retained_until: self
                .table
                .relayed_retention()
                .filter(|until| *until > now)
                .map(|until| PollOffset::between(received, until)),
            document_version: 0,
            document_as_of: None,
            document_position: RegistryPosition::default(),
            evacuation: EvacuationList::default(),
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
    /// longer than the read grace. A gateway without any data has just started, perhaps together
    /// with its followers, and gets as much time as a response may take.
    pub fn refresh_deadline(&self, now: Instant) -> Instant {
        let Some(as_of) = self.as_of else {
            return now + self.timings.idle_response_after();
        };
        as_of + self.timings.stale_after(self.hops(now)) + self.timings.read_grace()
    }

    /// Whether the view, read or relayed, is fresh enough to be used.
    pub fn is_current(&self, now: Instant) -> bool {
        let read_fresh_until = self.as_of.map(|at| at + self.timings.stale_after(0));
        self.relay_fresh_until(now).is_some() || read_fresh_until.is_some_and(|until| until > now)
    }

    /// Drops expired entries: those that vanished during a registry outage, or that an older copy of
    /// the registry lacks, and have not registered again in time.
    pub fn expire(&mut self, now: Instant) -> DiscoveryChange {
        let retained = self.table.retained();
        let change = self.table.expire(now);
        if let Some(era_change) = &mut self.era_change {
            era_change.dropped += retained - self.table.retained();
        }
        change
    }

    /// When the next entry expires unless it registers again; `None` if no entry is to expire.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.table.next_expiry()
    }

    /// Moves to the end of a list, which lacks what was written and removed since the data before.
    fn advance_by_list(&mut self, next: RegistryPosition) {
        if next > self.next {
            self.skipped.add(self.next, next);
            self.next = next;
        }
    }

    fn advance_as_of(&mut self, as_of: Instant) {
        if self.as_of.is_none_or(|known| known < as_of) {
            self.as_of = Some(as_of);
        }
    }
}
