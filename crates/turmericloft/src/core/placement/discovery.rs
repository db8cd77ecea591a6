//! The known endpoints, from a registry that lags and may be unavailable.
//!
//! Load pattern: the registry is unavailable for seconds, entries expire meanwhile, and removing
//! them on its return would leave all requests without endpoints at once. Entries that expire
//! during an outage are retained until shortly after its end; at other times a removal applies at
//! once.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{DiscoveredEndpoint, InstanceId};

/// Time after an outage within which running endpoints register again.
const REREGISTRATION_PERIOD: Duration = Duration::from_millis(1_900);
/// Time without a response from the registry that counts as an outage.
const OUTAGE_AFTER: Duration = Duration::from_millis(2_500);

/// State of one entry as it was read, with the offset of its record in the registry's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Identity of the endpoint.
    pub id: InstanceId,
    /// Offset of the record; a record with a lower offset than a known one is ignored.
    pub offset: u64,
    /// Endpoint in the entry; `None` if the entry was removed or is invalid.
    pub endpoint: Option<DiscoveredEndpoint>,
}

/// What an observation changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryChange {
    /// Nothing that affects placement.
    None,
    /// An endpoint was added, removed or changed.
    Endpoints,
}

/// Whether all earlier records of an entry were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum History {
    Complete,
    Partial,
}

#[derive(Clone, Debug)]
struct Entry {
    offset: u64,
    /// Offset of the last record that changed more than the remaining warm-up time.
    changed_at: u64,
    endpoint: Option<DiscoveredEndpoint>,
    /// When a retained entry is removed unless its endpoint registers again; `None` for an entry
    /// that is not retained.
    expires_at: Option<Instant>,
}

/// All entries of the registry that one gateway has read.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryTable {
    entries: HashMap<InstanceId, Entry>,
    last_response_at: Option<Instant>,
    retain_until: Option<Instant>,
}

impl DiscoveryTable {
    /// Creates a table without entries, as before the first read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the registry responded, and starts the retention period if an outage ended.
    /// Call it before the entries in the response are applied.
    pub fn record_registry_response(&mut self, now: Instant) {
        let since_last_response = self
            .last_response_at
            .map(|at| now.saturating_duration_since(at));
        if since_last_response.is_some_and(|elapsed| elapsed > OUTAGE_AFTER) {
            self.retain_until = Some(now + REREGISTRATION_PERIOD);
        }
        self.last_response_at = Some(now);
    }

    /// Applies one record. All records before it must have been applied.
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
        let known = self.entries.get(&record.id);
        if known.is_some_and(|e| e.offset > record.offset) {
            return DiscoveryChange::None;
        }
        let removed = record.endpoint.is_none();
        let before = known.and_then(|e| e.endpoint.clone());
        let retain_until = self.retain_until.filter(|until| *until > now);
        let (endpoint, expires_at) = match (removed, retain_until, before.is_some()) {
            (true, Some(until), true) => (before.clone(), Some(until)),
            _ => (record.endpoint, None),
        };
        let changed = match (&before, &endpoint) {
            (None, None) => false,
            (Some(a), Some(b)) => !is_equal_except_warmup(a, b),
            _ => true,
        };
        let was_expiring = known.is_some_and(|e| e.expires_at.is_some());
        let changed_at = match known {
            Some(known)
                if history == History::Complete
                    && !changed
                    && was_expiring == expires_at.is_some() =>
            {
                known.changed_at
            }
            // A record that was not read may have changed the entry in between.
            _ => record.offset,
        };
        let entry = Entry {
            offset: record.offset,
            changed_at,
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

    /// Applies a full list up to offset `end`: entries that it lacks are removed. A list older than
    /// the newest known record changes nothing.
    pub fn apply_full_list(
        &mut self,
        now: Instant,
        end: u64,
        listed: Vec<Observation>,
    ) -> DiscoveryChange {
        let newest = self.entries.values().map(|e| e.offset).max();
        if newest.is_some_and(|newest| newest >= end) {
            return DiscoveryChange::None;
        }
        let mut change = DiscoveryChange::None;
        let listed_ids: HashSet<_> = listed.iter().map(|l| l.id.clone()).collect();
        let missing: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| e.endpoint.is_some() && e.expires_at.is_none())
            .filter(|(id, _)| !listed_ids.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            let removed = Observation {
                id,
                offset: end.saturating_sub(1),
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

    /// Last state in the registry of each entry that changed at offset `from` or later. Retained
    /// entries are given as removed.
    pub fn changes_since(&self, from: u64) -> Vec<Observation> {
        let changed = self.entries.iter().filter(|(_, e)| e.changed_at >= from);
        let observed = changed.map(|(id, e)| Observation {
            id: id.clone(),
            offset: e.changed_at,
            endpoint: e.endpoint.clone().filter(|_| e.expires_at.is_none()),
        });
        observed.collect()
    }

    /// Whether an entry changed at offset `from` or later.
    pub fn has_changes_since(&self, from: u64) -> bool {
        self.entries.values().any(|e| e.changed_at >= from)
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
        self.last_response_at.is_some()
    }
}

impl DiscoveryChange {
    /// The combined change: `Endpoints` if either of them is.
    pub fn or(self, other: Self) -> Self {
        if self == Self::None { other } else { self }
    }
}

fn is_equal_except_warmup(a: &DiscoveredEndpoint, b: &DiscoveredEndpoint) -> bool {
    let a = DiscoveredEndpoint {
        warmup_left: b.warmup_left,
        ..a.clone()
    };
    a == *b
}
