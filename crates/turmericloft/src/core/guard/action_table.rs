//! Sharded table of the actions that this process may run.

use std::{
    collections::HashMap,
    hash::{BuildHasher, RandomState},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use http::StatusCode;
use parking_lot::Mutex;

use super::{
    ActionKey, ActionResponse, Fingerprint, Permit, Received, Stage, TableLimits, Waiter,
    entry::{Entry, State},
};
use crate::core::{Outcome, Problem, Step};

/// Number of shards. Each has its own lock.
const SHARDS: usize = 16;
/// Minimum time between two sweeps of a shard for expired entries.
const SWEEP_INTERVAL_MS: u64 = 2_000;

/// Table of all actions accepted by this process, each kept until no copy of its request can
/// arrive any more.
///
/// The type parameter `W` is what waits for the response of an action.
#[derive(Debug)]
pub struct ActionTable<W> {
    shards: [Mutex<Shard<W>>; SHARDS],
    hasher: RandomState,
    limits: TableLimits,
    bytes: AtomicUsize,
}

#[derive(Debug)]
struct Shard<W> {
    entries: HashMap<ActionKey, Entry<W>>,
    next_sweep_ms: u64,
}

/// One copy of a request that is submitted to an [`ActionTable`].
#[derive(Debug)]
pub struct Submission<W> {
    /// Key of the action.
    pub key: ActionKey,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Expiry time in milliseconds since the Unix epoch. The action is not started at or after it;
    /// with 0 it is only looked up.
    pub expires_ms: u64,
    /// Receives the response.
    pub waiter: W,
}

/// Result of submitting one copy of a request.
///
/// Variants that carry the waiter leave it to the caller of [`ActionTable::submit`] to respond.
#[derive(Debug)]
pub enum Submitted<W: Waiter> {
    /// This is the first copy. The permit allows to run the action; the table keeps the waiter.
    Accepted(Permit<Received, W>),
    /// The action is pending. The waiter is notified when it completes.
    Joined,
    /// The action has completed. The waiter was notified with the stored response.
    Completed,
    /// The key is in use by a different request, whose action is unaffected.
    Conflict(W),
    /// The table is at its limits. The action was not started.
    Full(W),
    /// The action has expired and was certainly not started.
    Expired(W),
    /// The action expired so long ago that its entry would have been removed. It may have run.
    Removed(W),
}

impl<W: Waiter> ActionTable<W> {
    /// Time for which an action is kept after its expiry, in milliseconds.
    pub const GRACE_MS: u64 = 30_000;

    /// Creates an empty table.
    pub fn new(limits: TableLimits) -> Arc<Self> {
        let shard = || Shard {
            entries: HashMap::new(),
            next_sweep_ms: 0,
        };
        Arc::new(Self {
            shards: std::array::from_fn(|_| Mutex::new(shard())),
            hasher: RandomState::new(),
            limits,
            bytes: AtomicUsize::new(0),
        })
    }

    /// Submits one copy of a request: accepts its action, joins it to the action that is already
    /// in the table, or returns why neither is possible.
    pub fn submit(self: &Arc<Self>, now_ms: u64, submission: Submission<W>) -> Submitted<W> {
        if !self.has_capacity(&submission.key) {
            self.remove_expired(now_ms);
        }
        let mut shard = self.shard(&submission.key).lock();
        self.sweep(&mut shard, now_ms);
        if let Some(entry) = shard.entries.get_mut(&submission.key) {
            if entry.fingerprint != submission.fingerprint {
                return Submitted::Conflict(submission.waiter);
            }
            return match &mut entry.state {
                State::Pending { waiters, .. } => {
                    waiters.push(submission.waiter);
                    Submitted::Joined
                }
                State::Completed(response) => {
                    let response = Arc::clone(response);
                    drop(shard);
                    submission.waiter.notify(response);
                    Submitted::Completed
                }
            };
        }
        let remove_after_ms = submission.expires_ms.saturating_add(Self::GRACE_MS);
        if now_ms >= remove_after_ms {
            return Submitted::Removed(submission.waiter);
        }
        if now_ms >= submission.expires_ms {
            return Submitted::Expired(submission.waiter);
        }
        if shard.entries.len() >= self.limits.actions.div_ceil(SHARDS)
            || !self.reserve(&submission.key)
        {
            return Submitted::Full(submission.waiter);
        }
        let entry = Entry {
            fingerprint: submission.fingerprint,
            remove_after_ms,
            state: State::Pending {
                stage: Stage::Received,
                waiters: vec![submission.waiter],
            },
        };
        shard.entries.insert(submission.key.clone(), entry);
        drop(shard);
        Submitted::Accepted(Permit::new(Arc::clone(self), submission.key))
    }

    /// Removes the completed actions of which no copy can arrive any more, in the shards that are
    /// due for a sweep.
    pub fn remove_expired(&self, now_ms: u64) {
        for shard in &self.shards {
            self.sweep(&mut shard.lock(), now_ms);
        }
    }

    /// Returns the number of actions, pending and completed.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.lock().entries.len()).sum()
    }

    /// Returns whether the table holds no action.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory used by entries and responses, in bytes, including what is reserved for
    /// the responses of pending actions.
    pub fn memory_bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns the limits of the table.
    pub fn limits(&self) -> &TableLimits {
        &self.limits
    }

    pub(super) fn advance(&self, key: &ActionKey, to: Stage) {
        let mut shard = self.shard(key).lock();
        if let Some(Entry {
            state: State::Pending { stage, .. },
            ..
        }) = shard.entries.get_mut(key)
        {
            *stage = to;
        }
    }

    pub(super) fn complete(&self, key: &ActionKey, response: &Arc<ActionResponse>) {
        let mut shard = self.shard(key).lock();
        let Some(entry) = shard.entries.get_mut(key) else {
            return;
        };
        let completed = State::Completed(Arc::clone(response));
        let State::Pending { waiters, .. } = std::mem::replace(&mut entry.state, completed) else {
            return;
        };
        drop(shard);
        self.bytes
            .fetch_add(response.memory_bytes(), Ordering::Relaxed);
        self.bytes
            .fetch_sub(self.limits.response_bytes, Ordering::Relaxed);
        for waiter in waiters {
            waiter.notify(Arc::clone(response));
        }
    }

    /// Completes an action whose permit was dropped.
    pub(super) fn abandon(&self, key: &ActionKey) {
        let stage = match self.shard(key).lock().entries.get(key).map(|e| &e.state) {
            Some(State::Pending { stage, .. }) => *stage,
            _ => return,
        };
        let (outcome, step) = match stage {
            Stage::Received => (Outcome::NotRun, Step::Received),
            Stage::Claimed => (Outcome::NotRun, Step::Claimed),
            Stage::Dispatched => (Outcome::Unknown, Step::FirstByteSent),
        };
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        let p = Problem::new(status, outcome, step, "the action was given up");
        self.complete(key, &Arc::new(ActionResponse::from_problem(&p)));
    }

    fn shard(&self, key: &ActionKey) -> &Mutex<Shard<W>> {
        &self.shards[self.hasher.hash_one(key) as usize % SHARDS]
    }

    fn has_capacity(&self, key: &ActionKey) -> bool {
        self.bytes_after_insert(key, self.memory_bytes()).is_some()
    }

    /// Returns the memory in use after one more entry with the given key; `None` if that exceeds
    /// the limit.
    fn bytes_after_insert(&self, key: &ActionKey, used: usize) -> Option<usize> {
        let cost = Entry::<W>::overhead(key) + self.limits.response_bytes;
        used.checked_add(cost)
            .filter(|&sum| sum <= self.limits.bytes)
    }

    fn reserve(&self, key: &ActionKey) -> bool {
        let add = |used: usize| self.bytes_after_insert(key, used);
        self.bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok()
    }

    fn sweep(&self, shard: &mut Shard<W>, now_ms: u64) {
        if now_ms < shard.next_sweep_ms {
            return;
        }
        shard.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
        let mut freed = 0;
        shard.entries.retain(|key, entry| {
            let keep = !entry.can_remove(now_ms);
            if !keep {
                freed +=
                    Entry::<W>::overhead(key) + entry.response_bytes(self.limits.response_bytes);
            }
            keep
        });
        self.bytes.fetch_sub(freed, Ordering::Relaxed);
    }
}
