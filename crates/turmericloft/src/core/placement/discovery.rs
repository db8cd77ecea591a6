//! Which endpoints there are, from a lagging registry that may be away.
//!
//! Load pattern: the registry goes away for seconds, entries lapse meanwhile, and dropping them on
//! its return would take the endpoints from all requests at once. Entries that vanish during an
//! outage are kept until shortly after its end; entries that vanish at other times go at once.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{DiscoveredEndpoint, InstanceId};

/// Time after an outage within which endpoints that live have registered again.
const REREGISTER_TIME: Duration = Duration::from_millis(1_900);
/// Time without an answer of the registry that counts as an outage.
const OUTAGE_AFTER: Duration = Duration::from_millis(2_500);

/// One entry as it was read, with its place in the registry's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Identity of the endpoint.
    pub id: InstanceId,
    /// Place in the history; later ones win.
    pub offset: u64,
    /// What the entry says; none if it is gone or cannot be used.
    pub endpoint: Option<DiscoveredEndpoint>,
}

/// What an observation changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryChange {
    /// Nothing that matters for placement.
    None,
    /// An endpoint came, went or changed.
    Endpoints,
}

/// Whether all records of an entry were seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum History {
    Whole,
    Partial,
}

#[derive(Clone, Debug)]
struct Entry {
    offset: u64,
    /// Place of the last record that changed more than how long the endpoint stays slow.
    changed_at: u64,
    endpoint: Option<DiscoveredEndpoint>,
    /// Kept only until this moment, unless it registers again.
    lapses: Option<Instant>,
}

/// All entries of the registry that one gateway has read.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryTable {
    entries: HashMap<InstanceId, Entry>,
    last_answer: Option<Instant>,
    hold_until: Option<Instant>,
}

impl DiscoveryTable {
    /// Nothing was read yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The registry answered, whatever it said. Call it before the answer's entries are taken in.
    pub fn record_registry_response(&mut self, now: Instant) {
        let away = self.last_answer.map(|at| now.saturating_duration_since(at));
        if away.is_some_and(|away| away > OUTAGE_AFTER) {
            self.hold_until = Some(now + REREGISTER_TIME);
        }
        self.last_answer = Some(now);
    }

    /// Takes in one record; all before it were taken in.
    pub fn observe(&mut self, now: Instant, seen: Observation) -> DiscoveryChange {
        self.take_in(now, seen, History::Whole)
    }

    /// Takes in the newest record of an entry; earlier ones may not have been seen.
    pub fn observe_newest(&mut self, now: Instant, seen: Observation) -> DiscoveryChange {
        self.take_in(now, seen, History::Partial)
    }

    fn take_in(&mut self, now: Instant, seen: Observation, history: History) -> DiscoveryChange {
        let known = self.entries.get(&seen.id);
        if known.is_some_and(|e| e.offset > seen.offset) {
            return DiscoveryChange::None;
        }
        let gone = seen.endpoint.is_none();
        let before = known.and_then(|e| e.endpoint.clone());
        let hold = self.hold_until.filter(|until| *until > now);
        let (endpoint, lapses) = match (gone, hold, before.is_some()) {
            (true, Some(until), true) => (before.clone(), Some(until)),
            _ => (seen.endpoint, None),
        };
        let changed = match (&before, &endpoint) {
            (None, None) => false,
            (Some(a), Some(b)) => !same_but_warmup(a, b),
            _ => true,
        };
        let lapsed_before = known.is_some_and(|e| e.lapses.is_some());
        let changed_at = match known {
            Some(known)
                if history == History::Whole && !changed && lapsed_before == lapses.is_some() =>
            {
                known.changed_at
            }
            // A record that was not seen may have said something else in between.
            _ => seen.offset,
        };
        let entry = Entry {
            offset: seen.offset,
            changed_at,
            endpoint,
            lapses,
        };
        self.entries.insert(seen.id, entry);
        if changed {
            DiscoveryChange::Endpoints
        } else {
            DiscoveryChange::None
        }
    }

    /// Takes in a whole listing up to `end`: entries that it lacks are gone. A listing older than
    /// what was read before changes nothing.
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
        let named: HashSet<_> = listed.iter().map(|l| l.id.clone()).collect();
        let missing: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| e.endpoint.is_some() && e.lapses.is_none())
            .filter(|(id, _)| !named.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            let gone = Observation {
                id,
                offset: end.saturating_sub(1),
                endpoint: None,
            };
            change = change.or(self.observe_newest(now, gone));
        }
        for seen in listed {
            change = change.or(self.observe_newest(now, seen));
        }
        change
    }

    /// Drops entries whose time after an outage is over.
    pub fn expire(&mut self, now: Instant) -> DiscoveryChange {
        let mut change = DiscoveryChange::None;
        for entry in self.entries.values_mut() {
            if entry.lapses.is_some_and(|at| at <= now) {
                entry.lapses = None;
                entry.endpoint = None;
                change = DiscoveryChange::Endpoints;
            }
        }
        change
    }

    /// When the next entry is dropped unless it registers again.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.entries.values().filter_map(|e| e.lapses).min()
    }

    /// What the registry said last of each entry that changed at `from` or later.
    pub fn changes_since(&self, from: u64) -> Vec<Observation> {
        let changed = self.entries.iter().filter(|(_, e)| e.changed_at >= from);
        let observed = changed.map(|(id, e)| Observation {
            id: id.clone(),
            offset: e.changed_at,
            endpoint: e.endpoint.clone().filter(|_| e.lapses.is_none()),
        });
        observed.collect()
    }

    /// Whether an entry changed at `from` or later.
    pub fn has_changes_since(&self, from: u64) -> bool {
        self.entries.values().any(|e| e.changed_at >= from)
    }

    /// The endpoints there are.
    pub fn endpoints(&self) -> Vec<DiscoveredEndpoint> {
        let known = self.entries.values().filter_map(|e| e.endpoint.clone());
        let mut endpoints: Vec<_> = known.collect();
        endpoints.sort_by(|a, b| a.id.cmp(&b.id));
        endpoints
    }

    /// Whether the registry has answered at all.
    pub fn is_known(&self) -> bool {
        self.last_answer.is_some()
    }
}

impl DiscoveryChange {
    /// Whether either changed something.
    pub fn or(self, other: Self) -> Self {
        if self == Self::None { other } else { self }
    }
}

fn same_but_warmup(a: &DiscoveredEndpoint, b: &DiscoveredEndpoint) -> bool {
    let a = DiscoveredEndpoint {
        warmup_left: b.warmup_left,
        ..a.clone()
    };
    a == *b
}
