//! Simulated registry that can return from an older copy of its data.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::placement::{
    DiscoveredEndpoint, EndpointState, Observation, RegistryEra, RegistryList, RegistryPosition,
};

use super::endpoint;

const ENDPOINTS: usize = 6;
/// Time within which an endpoint writes its state again after a return of the registry.
const REWRITE_WITHIN: Duration = Duration::from_millis(1_500);
/// Age of the oldest copy to which the registry returns.
const MAX_COPY_AGE: Duration = Duration::from_secs(4);

/// State of an entry as the registry held it from `at` on.
struct Held {
    at: Instant,
    observation: Observation,
}

/// The registry's log, and what endpoints have written to it.
#[derive(Default)]
pub(super) struct Registry {
    era: u64,
    /// Records of the present era's history, with the times of their writes; the index is the offset.
    records: Vec<(Instant, Observation)>,
    /// All states that the registry has held, also those of earlier eras.
    held: Vec<Held>,
    /// Last state that each endpoint has written; `None` once it is removed. The number of changes
    /// of the state is in `slots`.
    written: BTreeMap<String, Option<DiscoveredEndpoint>>,
    changes: HashMap<String, u32>,
    rewrites: Vec<(Instant, String)>,
    last_return: Option<Instant>,
}

impl Registry {
    pub(super) fn era(&self) -> RegistryEra {
        RegistryEra(self.era)
    }

    /// When the registry last returned from an older copy.
    pub(super) fn last_return(&self) -> Option<Instant> {
        self.last_return
    }

    pub(super) fn end(&self) -> RegistryPosition {
        RegistryPosition::new(self.era(), self.records.len() as u64)
    }

    /// Writes a random state of a random endpoint.
    pub(super) fn write(&mut self, now: Instant, rng: &mut Pcg64Mcg) {
        let id = format!("e{}", rng.random_range(0..ENDPOINTS));
        let state = match rng.random_range(0..10) {
            0 => None,
            1 => Some(EndpointState::Draining),
            _ => Some(EndpointState::Ready),
        };
        let before = self.written.get(&id).cloned().flatten();
        let next = state.map(|state| self.next_state(&id, before.as_ref(), state));
        self.written.insert(id.clone(), next);
        self.append(now, &id);
    }

    /// An endpoint that was draining or removed becomes ready only as a new incarnation.
    fn next_state(
        &mut self,
        id: &str,
        before: Option<&DiscoveredEndpoint>,
        state: EndpointState,
    ) -> DiscoveredEndpoint {
        if let Some(before) = before.filter(|e| e.state == state) {
            return before.clone();
        }
        let changes = self.changes.entry(id.to_owned()).or_default();
        *changes += 1;
        let is_same_incarnation = before.is_some() && state == EndpointState::Draining;
        let started_at_ms = match before {
            Some(before) if is_same_incarnation => before.started_at_ms,
            _ => u64::from(*changes),
        };
        DiscoveredEndpoint {
            slots: *changes,
            started_at_ms,
            ..endpoint(id, state)
        }
    }

    fn append(&mut self, now: Instant, id: &str) {
        let observation = Observation {
            id: id.into(),
            position: self.end(),
            is_proven: false,
            endpoint: self.written.get(id).cloned().flatten(),
        };
        self.records.push((now, observation.clone()));
        self.held.push(Held {
            at: now,
            observation,
        });
    }

    /// Returns to a copy of random age. Endpoints write their states again within a while.
    pub(super) fn return_from_copy(&mut self, now: Instant, rng: &mut Pcg64Mcg) {
        let age = MAX_COPY_AGE.mul_f64(rng.random::<f64>());
        let copied = now.checked_sub(age).expect("a time after the start");
        let kept = self.records.partition_point(|(at, _)| *at < copied);
        self.records.truncate(kept);
        self.era += 1;
        self.last_return = Some(now);
        let copy = self.newest();
        let ids: Vec<_> = self.written.keys().cloned().collect();
        for id in ids {
            let endpoint = copy.get(&*id).and_then(|o| o.endpoint.clone());
            let position = self.end();
            let observation = Observation {
                id: id.as_str().into(),
                position,
                is_proven: false,
                endpoint,
            };
            self.held.push(Held {
                at: now,
                observation,
            });
            let at = now + REWRITE_WITHIN.mul_f64(rng.random::<f64>());
            self.rewrites.push((at, id));
        }
    }

    /// Appends the states that endpoints write again at `now`.
    pub(super) fn rewrite(&mut self, now: Instant) {
        let (due, later) = std::mem::take(&mut self.rewrites)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.rewrites = later;
        let due: Vec<(Instant, String)> = due;
        for (_, id) in due {
            self.append(now, &id);
        }
    }

    pub(super) fn since(&self, from: u64) -> Vec<Observation> {
        let records = self.records.iter().skip(from as usize);
        records.map(|(_, record)| record.clone()).collect()
    }

    fn newest(&self) -> BTreeMap<String, Observation> {
        let records = self.records.iter();
        records
            .map(|(_, r)| (r.id.to_string(), r.clone()))
            .collect()
    }

    pub(super) fn full_list(&self) -> RegistryList {
        let era = self.era();
        let in_era = |o: Observation| Observation {
            position: RegistryPosition::new(era, o.position.offset),
            ..o
        };
        let newest = self.newest().into_values();
        RegistryList {
            era,
            end: self.end().offset,
            next_offset: self.end().offset,
            observations: newest
                .filter(|o| o.endpoint.is_some())
                .map(in_era)
                .collect(),
        }
    }

    /// What the endpoint `id` has written last.
    pub(super) fn written(&self, id: &str) -> Option<&DiscoveredEndpoint> {
        self.written.get(id)?.as_ref()
    }

    /// States that each entry had at `at` or later.
    pub(super) fn held_since(&self, at: Instant) -> BTreeMap<&str, Vec<&Observation>> {
        let mut states = BTreeMap::<&str, Vec<&Observation>>::new();
        for held in &self.held {
            let of_entry = states.entry(&held.observation.id).or_default();
            if held.at < at {
                of_entry.clear();
            }
            of_entry.push(&held.observation);
        }
        states
    }
}
