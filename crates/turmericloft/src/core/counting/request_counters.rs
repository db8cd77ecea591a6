//! The counters of one gateway, in shards.

use std::{
    collections::HashMap,
    hash::{BuildHasher, RandomState},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use parking_lot::Mutex;

use super::{CountKey, CountRow, Counter, InFlightRequest, Resolution, Snapshot};
use crate::core::HostId;

/// Number of shards of the counters. Each has a lock of its own.
const SHARDS: usize = 16;
/// Default maximum number of keys that are counted separately.
const DEFAULT_ROW_LIMIT: usize = 32_768;

/// Counts every admitted request by caller, service, kind and outcome.
///
/// Beyond the row limit, requests of further keys are summed by service and kind under the caller
/// [`CountKey::OVERFLOW_CALLER`], which bounds memory and the size of snapshots.
#[derive(Debug)]
pub struct RequestCounters {
    shards: [Mutex<Shard>; SHARDS],
    hasher: RandomState,
    row_limit: usize,
    rows: AtomicUsize,
    shared: Arc<SharedState>,
}

#[derive(Debug, Default)]
struct Shard {
    counters: HashMap<CountKey, Arc<Counter>>,
    /// Requests admitted in this shard.
    requests: u64,
}

/// State shared by all counters of a [`RequestCounters`].
#[derive(Debug)]
pub(super) struct SharedState {
    /// Sequence of the next snapshot.
    pub(super) sequence: AtomicU64,
    /// Whether the latency of served requests is recorded.
    pub(super) has_latency: AtomicBool,
}

impl RequestCounters {
    /// Counters without rows, with the default row limit.
    pub fn new() -> Arc<Self> {
        Self::with_row_limit(DEFAULT_ROW_LIMIT)
    }

    /// Counters without rows that count up to `row_limit` keys separately.
    pub fn with_row_limit(row_limit: usize) -> Arc<Self> {
        Arc::new(Self {
            shards: Default::default(),
            hasher: RandomState::new(),
            row_limit,
            rows: AtomicUsize::new(0),
            shared: Arc::new(SharedState {
                sequence: AtomicU64::new(1),
                has_latency: AtomicBool::new(true),
            }),
        })
    }

    /// Counts a request as admitted, without measuring its latency. It counts as unfinished
    /// unless the returned value is ended.
    pub fn admit(&self, key: CountKey) -> InFlightRequest {
        InFlightRequest::new(self.counter(key), None)
    }

    /// Counts a request as admitted at `now`. Its latency is measured if the resolution has
    /// latencies.
    pub fn admit_at(&self, key: CountKey, now: Instant) -> InFlightRequest {
        let has_latency = self.shared.has_latency.load(Ordering::Relaxed);
        InFlightRequest::new(self.counter(key), has_latency.then_some(now))
    }

    /// Sets the resolution. If it has no latencies, the recorded ones are cleared.
    pub fn set_resolution(&self, resolution: Resolution) {
        let has_latency = resolution.has_latency();
        let had_latency = self.shared.has_latency.swap(has_latency, Ordering::Relaxed);
        if had_latency && !has_latency {
            self.counters().for_each(|c| c.clear_latency());
        }
    }

    /// A snapshot of the rows that changed after the one with sequence `base_sequence`; of all
    /// rows if it is 0. `now_ms` is in milliseconds since the Unix epoch.
    pub fn snapshot(&self, host: HostId, base_sequence: u64, now_ms: u64) -> Snapshot {
        let sequence = self.shared.sequence.fetch_add(1, Ordering::AcqRel);
        let rows = self.rows_changed_after(base_sequence);
        Snapshot {
            host,
            sequence,
            base_sequence,
            taken_at_ms: now_ms,
            is_last: false,
            rows,
        }
    }

    /// All rows, without advancing the sequence of snapshots.
    pub fn rows(&self) -> Vec<CountRow> {
        self.rows_changed_after(0)
    }

    /// Number of requests admitted so far.
    pub fn requests(&self) -> u64 {
        self.shards.iter().map(|s| s.lock().requests).sum()
    }

    fn rows_changed_after(&self, base_sequence: u64) -> Vec<CountRow> {
        self.counters()
            .filter_map(|c| c.row_if_changed_after(base_sequence))
            .collect()
    }

    /// All counters. Locks one shard at a time and releases it before its counters are used.
    fn counters(&self) -> impl Iterator<Item = Arc<Counter>> {
        self.shards.iter().flat_map(|shard| {
            let counters: Vec<_> = shard.lock().counters.values().cloned().collect();
            counters
        })
    }

    fn counter(&self, key: CountKey) -> Arc<Counter> {
        let mut shard = self.shard(&key).lock();
        if let Some(counter) = shard.counters.get(&key).map(Arc::clone) {
            shard.requests += 1;
            return counter;
        }
        if !key.is_overflow() && self.rows.load(Ordering::Relaxed) >= self.row_limit {
            drop(shard);
            return self.counter(key.into_overflow());
        }
        self.rows.fetch_add(1, Ordering::Relaxed);
        shard.requests += 1;
        let counter = Counter::new(key.clone(), Arc::clone(&self.shared));
        shard.counters.insert(key, Arc::clone(&counter));
        counter
    }

    fn shard(&self, key: &CountKey) -> &Mutex<Shard> {
        &self.shards[self.hasher.hash_one(key) as usize % SHARDS]
    }
}
