//! Counters of one gateway, in shards.

use std::{
    collections::HashMap,
    hash::{BuildHasher, RandomState},
    sync::Arc,
};

use parking_lot::Mutex;

use super::{CountKey, CountRow, OpenCount, Snapshot};
use crate::core::{HostId, Outcome};

/// Shards of the counters; each has its own lock.
const SHARDS: usize = 16;

/// Counts every admitted request by caller, service, kind and outcome.
#[derive(Debug)]
pub struct Ledger {
    shards: [Mutex<HashMap<CountKey, CountRow>>; SHARDS],
    hasher: RandomState,
}

impl Ledger {
    /// An empty ledger.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            shards: Default::default(),
            hasher: RandomState::new(),
        })
    }

    /// Counts a request as admitted. It counts as unfinished unless the result is ended.
    pub fn admit(self: &Arc<Self>, key: CountKey) -> OpenCount {
        self.update(&key, |row| row.admitted += 1);
        OpenCount::new(Arc::clone(self), key)
    }

    /// All counts so far.
    pub fn snapshot(&self, host: HostId, sequence: u64, now_ms: u64) -> Snapshot {
        let mut rows: Vec<_> = Vec::new();
        for shard in &self.shards {
            rows.extend(shard.lock().values().cloned());
        }
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        Snapshot {
            host,
            sequence,
            taken_at_ms: now_ms,
            rows,
        }
    }

    pub(super) fn end(&self, key: &CountKey, outcome: Outcome) {
        self.update(key, |row| row.ended[outcome as usize] += 1);
    }

    fn update(&self, key: &CountKey, change: impl FnOnce(&mut CountRow)) {
        let shard = self.hasher.hash_one(key) as usize % SHARDS;
        let mut rows = self.shards[shard].lock();
        match rows.get_mut(key) {
            Some(row) => change(row),
            None => change(
                rows.entry(key.clone())
                    .or_insert_with(|| CountRow::new(key.clone())),
            ),
        }
    }
}
