//! Counters of one gateway, in shards.

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

/// Shards of the counters; each has its own lock.
const SHARDS: usize = 16;
/// Rows counted one by one.
const DEFAULT_ROW_LIMIT: usize = 32_768;

/// Counts every admitted request by caller, service, kind and outcome.
///
/// Beyond its limit of rows, requests of further keys are summed by service and kind under the
/// caller [`CountKey::OVERFLOW_CALLER`].
#[derive(Debug)]
pub struct RequestCounters {
    shards: [Mutex<Shard>; SHARDS],
    hasher: RandomState,
    row_limit: usize,
    rows: AtomicUsize,
    state: Arc<SharedState>,
}

#[derive(Debug, Default)]
struct Shard {
    counters: HashMap<CountKey, Arc<Counter>>,
    requests: u64,
}

/// What all counters of a ledger share.
#[derive(Debug)]
pub(super) struct SharedState {
    /// Sequence of the next snapshot.
    pub(super) sequence: AtomicU64,
    /// Whether times are taken.
    pub(super) timed: AtomicBool,
}

impl RequestCounters {
    /// An empty ledger.
    pub fn new() -> Arc<Self> {
        Self::with_row_limit(DEFAULT_ROW_LIMIT)
    }

    /// An empty ledger that counts up to `row_limit` keys one by one.
    pub fn with_row_limit(row_limit: usize) -> Arc<Self> {
        Arc::new(Self {
            shards: Default::default(),
            hasher: RandomState::new(),
            row_limit,
            rows: AtomicUsize::new(0),
            state: Arc::new(SharedState {
                sequence: AtomicU64::new(1),
                timed: AtomicBool::new(true),
            }),
        })
    }

    /// Counts a request as admitted, without its time. It counts as unfinished unless the
    /// result is ended.
    pub fn admit(&self, key: CountKey) -> InFlightRequest {
        InFlightRequest::new(self.counter(key), None)
    }

    /// Counts a request as admitted at `now`.
    pub fn admit_at(&self, key: CountKey, now: Instant) -> InFlightRequest {
        let timed = self.state.timed.load(Ordering::Relaxed);
        InFlightRequest::new(self.counter(key), timed.then_some(now))
    }

    /// Counts from now on with this resolution. Times that are no longer taken are dropped.
    pub fn set_resolution(&self, resolution: Resolution) {
        let timed = resolution.has_latency();
        let before = self.state.timed.swap(timed, Ordering::Relaxed);
        if before && !timed {
            self.counters().for_each(|c| c.drop_latency());
        }
    }

    /// Rows that changed after the snapshot numbered `since`; all of them if it is 0.
    pub fn snapshot(&self, host: HostId, since: u64, now_ms: u64) -> Snapshot {
        let sequence = self.state.sequence.fetch_add(1, Ordering::AcqRel);
        let rows = self.rows_after(since);
        Snapshot {
            host,
            sequence,
            base_sequence: since,
            taken_at_ms: now_ms,
            is_last: false,
            rows,
        }
    }

    /// All rows, without making a snapshot of them.
    pub fn rows(&self) -> Vec<CountRow> {
        self.rows_after(0)
    }

    /// Requests admitted so far.
    pub fn requests(&self) -> u64 {
        self.shards.iter().map(|s| s.lock().requests).sum()
    }

    /// All counters, locking one shard at a time and none while a counter is used.
    fn rows_after(&self, since: u64) -> Vec<CountRow> {
        self.counters()
            .filter_map(|c| c.changed_after(since))
            .collect()
    }

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
        let counter = Counter::new(key.clone(), Arc::clone(&self.state));
        shard.counters.insert(key, Arc::clone(&counter));
        counter
    }

    fn shard(&self, key: &CountKey) -> &Mutex<Shard> {
        &self.shards[self.hasher.hash_one(key) as usize % SHARDS]
    }
}
