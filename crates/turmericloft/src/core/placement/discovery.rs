//! The known endpoints, from a registry that lags, may be unavailable, and may return from an older
//! copy of its data.
//!
//! Load pattern: the registry is unavailable for seconds, entries expire meanwhile, and removing
//! them on its return would leave all requests without endpoints at once. Entries that expire
//! during an outage are retained until shortly after its end; at other times a removal applies at
//! once, also if the registry was out of reach of this gateway alone. What an older copy lacks is
//! retained too. What an endpoint was known to have reached, draining or removal, stays binding when the
//! copy says otherwise.

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

use super::{
    DiscoveredEndpoint, DiscoveryChange, InstanceId, Observation, RegistryEra, RegistryList,
    RegistryPosition, RegistryReturn, registry_availability::RegistryAvailability,
    registry_entry::RegistryEntry,
};

/// Whether all earlier records of an entry were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum History {
    Complete,
    Partial,
}

/// All entries of the registry that one gateway has read.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryTable {
    entries: HashMap<InstanceId, RegistryEntry>,
    era: RegistryEra,
    /// Offset from which on records were certainly written in `era`.
    proven_from: u64,
    availability: RegistryAvailability,
}

impl DiscoveryTable {
    /// Creates a table without entries, as before the first read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Era of the newest data.
    pub fn era(&self) -> RegistryEra {
        self.era
    }

    /// Records that the registry responded with what is complete up to `end`, and starts the retention period if an
    /// outage ended. Call it before the entries in the response are applied.
    pub fn record_registry_response(&mut self, now: Instant, end: RegistryPosition) {
        self.availability.record_response(now, end);
    }

    /// Records data up to `end` that another gateway relays, which retains removed entries until `retained_until`.
    /// `is_fresh` says whether it shows that the registry is available. Call it before the entries are applied.
    pub fn record_relayed(
        &mut self,
        now: Instant,
        end: RegistryPosition,
        is_fresh: bool,
        retained_until: Option<Instant>,
    ) {
        self.availability
            .record_relayed(now, end, is_fresh, retained_until);
    }

    /// Records that the registry was out of reach at `at`: what is retained next is retained until `limit` at most.
    pub fn record_out_of_reach(&mut self, at: Instant, limit: Instant) {
        self.availability.record_out_of_reach(at, limit);
    }

    /// Ends the retention period that the next response may start at `limit` at the latest.
    pub fn limit_retention(&mut self, limit: Instant) {
        self.availability.limit_retention(limit);
    }

    /// Until when followers retain the entries that they lack here; `None` if the list is complete.
    pub fn relayed_retention(&self) -> Option<Instant> {
        self.availability.relayed_retention()
    }

    /// The end of the last time without data, once.
    pub fn take_registry_return(&mut self) -> Option<RegistryReturn> {
        self.availability.take_return()
    }

    /// Applies one record of the registry's log. All records before it must have been applied.
    pub fn observe(&mut self, now: Instant, record: Observation) -> DiscoveryChange {
        self.apply_record(now, record, History::Complete)
    }

    /// Applies the newest record of an entry. Earlier records may be missing.
    pub fn observe_newest(&mut self, now: Instant, record: Observation) -> DiscoveryChange {
        self.apply_record(now, record, History::Partial)
    }

    fn apply_record(
        &mut self,
        now: Instant,
        record: Observation,
        history: History,
    ) -> DiscoveryChange {
        let is_proven = record.is_proven || self.is_proven(record.position);
        let known = self.entries.get(&record.id);
        if known.is_some_and(|e| is_outdated(&record, is_proven, e)) {
            return DiscoveryChange::None;
        }
        let removed = record.endpoint.is_none();
        let before = known.and_then(|e| e.endpoint.clone());
        let retain_until = self.availability.retain_until(now);
        let (endpoint, expires_at) = match (removed, retain_until, before.is_some()) {
            (true, Some(until), true) => (before.clone(), Some(until)),
            _ => (record.endpoint, None),
        };
        let changed = match (&before, &endpoint) {
            (None, None) => false,
            (Some(a), Some(b)) => !is_equal_except_progress(a, b),
            _ => true,
        };
        let was_expiring = known.is_some_and(|e| e.expires_at.is_some());
        let changed_at = match known {
            Some(known)
                if history == History::Complete
                    && known.position.era == record.position.era
                    && known.is_proven == is_proven
                    && !changed
                    && was_expiring == expires_at.is_some() =>
            {
                known.changed_at
            }
            // A record that was not read may have changed the entry in between, and the first
            // proven record of an era tells followers that the entry is not from an older copy.
            _ => record.position,
        };
        let last_started_at_ms = endpoint.as_ref().map(|e| e.started_at_ms);
        let entry = RegistryEntry {
            position: record.position,
            is_proven,
            changed_at,
            last_started_at_ms: last_started_at_ms
                .or(known.map(|e| e.last_started_at_ms))
                .unwrap_or_default(),
            endpoint,
            expires_at,
        };
        self.entries.insert(record.id, entry);
        if changed {
            DiscoveryChange::Endpoints
        } else {
            DiscoveryChange::None
        }
    }

    /// Applies a full list, read from the registry or relayed: entries that it lacks are removed, or
    /// retained for a while after an outage and at the beginning of an era. A list older than the
    /// newest known record changes nothing.
    pub fn apply_full_list(&mut self, now: Instant, list: RegistryList) -> DiscoveryChange {
        let end = list.end_position();
        if self.is_older_than_known(end) {
            return DiscoveryChange::None;
        }
        self.begin_era(end);
        self.apply_entries(now, end, list.observations)
    }

    fn is_older_than_known(&self, end: RegistryPosition) -> bool {
        let known_to = RegistryPosition::new(self.era, self.proven_from);
        let newest = self.entries.values().map(|e| e.position).max();
        end < known_to || newest.is_some_and(|newest| newest >= end)
    }

    /// Begins the era of a list that is complete up to `end`, if it is a new one.
    fn begin_era(&mut self, end: RegistryPosition) {
        if end.era != self.era {
            self.era = end.era;
            self.proven_from = end.offset;
        }
    }

    /// Whether a record at `position` was certainly written in its era: it was not yet in the
    /// registry when this gateway first read the whole registry in that era.
    fn is_proven(&self, position: RegistryPosition) -> bool {
        position >= RegistryPosition::new(self.era, self.proven_from)
    }

    fn apply_entries(
        &mut self,
        now: Instant,
        end: RegistryPosition,
        listed: Vec<Observation>,
    ) -> DiscoveryChange {
        let mut change = DiscoveryChange::None;
        let valid = listed.iter().filter(|l| l.endpoint.is_some());
        let listed_ids: HashSet<_> = valid.map(|l| l.id.clone()).collect();
        let missing: Vec<_> = self
            .entries
            .iter()
            .filter(|(id, e)| e.is_registered() && !listed_ids.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            let position = RegistryPosition::new(end.era, end.offset.saturating_sub(1));
            let removed = Observation {
                id,
                position,
                is_proven: true,
                endpoint: None,
            };
            change = change.or(self.observe_newest(now, removed));
        }
        for record in listed {
            change = change.or(self.observe_newest(now, record));
        }
        change
    }

    /// Removes retained entries that have expired.
    pub fn expire(&mut self, now: Instant) -> DiscoveryChange {
        let mut change = DiscoveryChange::None;
        for entry in self.entries.values_mut() {
            if entry.expires_at.is_some_and(|at| at <= now) {
                entry.expires_at = None;
                entry.endpoint = None;
                change = DiscoveryChange::Endpoints;
            }
        }
        change
    }

    /// When the next retained entry expires; `None` if none is retained.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.entries.values().filter_map(|e| e.expires_at).min()
    }

    /// Number of entries that are retained although the registry lacks them.
    pub fn retained(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|e| e.expires_at.is_some()).count()
    }

    /// Last state in the registry of each entry that changed at `from` or later. Retained entries
    /// are given as removed.
    pub fn changes_since(&self, from: RegistryPosition) -> Vec<Observation> {
        let changed = self.entries.iter().filter(|(_, e)| e.changed_at >= from);
        let observed = changed.map(|(id, e)| Observation {
            id: id.clone(),
            position: e.changed_at,
            is_proven: e.is_proven,
            endpoint: e.endpoint.clone().filter(|_| e.expires_at.is_none()),
        });
        observed.collect()
    }

    /// Whether an entry changed at `from` or later.
    pub fn has_changes_since(&self, from: RegistryPosition) -> bool {
        self.entries.values().any(|e| e.changed_at >= from)
    }

    /// All registered entries, for a gateway that knows an earlier era only.
    pub fn full_list(&self) -> Vec<Observation> {
        let registered = self.entries.iter().filter(|(_, e)| e.is_registered());
        let observed = registered.map(|(id, e)| Observation {
            id: id.clone(),
            position: e.position,
            is_proven: e.is_proven,
            endpoint: e.endpoint.clone(),
        });
        observed.collect()
    }

    /// All known endpoints including retained ones, ordered by identity.
    pub fn endpoints(&self) -> Vec<DiscoveredEndpoint> {
        let known = self.entries.values().filter_map(|e| e.endpoint.clone());
        let mut endpoints: Vec<_> = known.collect();
        endpoints.sort_by(|a, b| a.id.cmp(&b.id));
        endpoints
    }

    /// Whether the registry has ever responded.
    pub fn has_registry_response(&self) -> bool {
        self.availability.has_response()
    }
}

/// Whether a record is older than the known state of its entry, or may come from an older copy of
/// the registry and is behind that state.
fn is_outdated(record: &Observation, is_proven: bool, known: &RegistryEntry) -> bool {
    if known.position.era < record.position.era && !is_proven {
        let endpoint = record.endpoint.as_ref();
        return endpoint.is_some_and(|e| !known.may_become(e));
    }
    known.position > record.position
}

/// Whether `b` differs from `a` by no more than the progress of its warm-up. A warm-up that begins, begins again or
/// ends is a change: an endpoint may become cold without a restart.
fn is_equal_except_progress(a: &DiscoveredEndpoint, b: &DiscoveredEndpoint) -> bool {
    let is_progress =
        b.warmup_left <= a.warmup_left && a.warmup_left.is_zero() == b.warmup_left.is_zero();
    let a = DiscoveredEndpoint {
        warmup_left: b.warmup_left,
        ..a.clone()
    };
    is_progress && a == *b
}
