//! The actions that this process may run, in shards.

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

/// Shards of the table; each has its own lock.
const SHARDS: usize = 16;
/// Time between two searches of a shard for entries to forget.
const SWEEP_INTERVAL_MS: u64 = 2_000;

/// Holds every action of this process from its acceptance until no copy of it can come.
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

/// One copy of a request, offered to the table.
#[derive(Debug)]
pub struct Submission<W> {
    /// Key of the action.
    pub key: ActionKey,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time from which on the action is not begun, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Who gets the answer.
    pub waiter: W,
}

/// What becomes of a copy.
#[derive(Debug)]
pub enum SubmitResult<W: Waiter> {
    /// It is the first: the action may be run with this permit. The waiter is kept.
    Accepted(Permit<Received, W>),
    /// The action is under way; the copy gets its answer.
    Joined,
    /// The action has ended; its answer was given to the waiter.
    Completed,
    /// The key belongs to another request. The action that has the key is not touched.
    Conflict(W),
    /// There is no room; the action was not begun here.
    Full(W),
    /// The time to begin has passed, and the action was certainly not begun.
    Expired(W),
    /// The action is past the time for which actions are kept; it may have run.
    PastRetention(W),
}

impl<W: Waiter> ActionTable<W> {
    /// Time after an action's expiry for which it is still kept, in milliseconds.
    pub const GRACE_MS: u64 = 30_000;

    /// An empty table.
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

    /// Decides what becomes of a copy of a request.
    pub fn submit(self: &Arc<Self>, now_ms: u64, submission: Submission<W>) -> SubmitResult<W> {
        if !self.has_capacity(&submission.key) {
            self.remove_expired(now_ms);
        }
        let mut shard = self.shard(&submission.key).lock();
        self.sweep(&mut shard, now_ms);
        if let Some(entry) = shard.entries.get_mut(&submission.key) {
            if entry.fingerprint != submission.fingerprint {
                return SubmitResult::Conflict(submission.waiter);
            }
            return match &mut entry.state {
                State::Pending { waiters, .. } => {
                    waiters.push(submission.waiter);
                    SubmitResult::Joined
                }
                State::Completed(answer) => {
                    let answer = Arc::clone(answer);
                    drop(shard);
                    submission.waiter.notify(answer);
                    SubmitResult::Completed
                }
            };
        }
        let remove_after_ms = submission.expires_ms.saturating_add(Self::GRACE_MS);
        if now_ms >= remove_after_ms {
            return SubmitResult::PastRetention(submission.waiter);
        }
        if now_ms >= submission.expires_ms {
            return SubmitResult::Expired(submission.waiter);
        }
        if shard.entries.len() >= self.limits.actions.div_ceil(SHARDS)
            || !self.reserve(&submission.key)
        {
            return SubmitResult::Full(submission.waiter);
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
        SubmitResult::Accepted(Permit::new(Arc::clone(self), submission.key))
    }

    /// Forgets the actions of which no copy can come any more, in all shards.
    pub fn remove_expired(&self, now_ms: u64) {
        for shard in &self.shards {
            self.sweep(&mut shard.lock(), now_ms);
        }
    }

    /// Actions held, with and without an answer.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.lock().entries.len()).sum()
    }

    /// Whether no action is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory taken by actions and their answers, with what is reserved, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Bounds of the table.
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

    pub(super) fn complete(&self, key: &ActionKey, answer: &Arc<ActionResponse>) {
        let mut shard = self.shard(key).lock();
        let Some(entry) = shard.entries.get_mut(key) else {
            return;
        };
        let completed = State::Completed(Arc::clone(answer));
        let State::Pending { waiters, .. } = std::mem::replace(&mut entry.state, completed) else {
            return;
        };
        drop(shard);
        self.bytes
            .fetch_add(answer.memory_bytes(), Ordering::Relaxed);
        self.bytes
            .fetch_sub(self.limits.response_bytes, Ordering::Relaxed);
        for waiter in waiters {
            waiter.notify(Arc::clone(answer));
        }
    }

    /// Ends an action whose permit was dropped.
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

    /// Memory with one more action, if the limit allows it.
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
