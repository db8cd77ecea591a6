//! What a gateway keeps of guarded actions.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

use super::claim_log::ClaimLog;
use crate::{
    core::guard::{ActionKeys, ActionResponse, ActionTable, Quarantine, TableLimits, Waiter},
    util::settings::GuardSettings,
};

/// A copy of a request that waits for the answer of its action.
#[derive(Debug)]
pub(super) struct ResponseWaiter(pub(super) oneshot::Sender<Arc<ActionResponse>>);

impl Waiter for ResponseWaiter {
    fn notify(self, answer: Arc<ActionResponse>) {
        let _ = self.0.send(answer);
    }
}

/// The guarded actions of this gateway incarnation.
#[derive(Debug)]
pub struct GuardedActions {
    /// GuardedActions with issued ids.
    pub(super) table: Arc<ActionTable<ResponseWaiter>>,
    /// GuardedActions with callers' own keys. Apart, so that keys given up during an outage of the log
    /// leave room for issued ids.
    pub(super) keyed: Arc<ActionTable<ResponseWaiter>>,
    pub(super) keys: ActionKeys,
    pub(super) id_lifetime: Duration,
    pub(super) key_lifetime: Duration,
    /// GuardedActions being run, whether or not a caller waits.
    pub(super) running: TaskTracker,
    /// Requests that crash backend servers.
    pub(super) quarantine: Mutex<Quarantine>,
    pub(super) claims: OnceLock<Arc<ClaimLog>>,
}

impl GuardedActions {
    /// No actions yet.
    pub fn new(settings: &GuardSettings) -> Self {
        let previous = settings.previous_secret.as_deref();
        let keys = match &settings.secret {
            Some(secret) => ActionKeys::shared(secret, previous),
            None => ActionKeys::process_local(&mut rand::rng()),
        };
        let limits = TableLimits {
            actions: settings.actions,
            bytes: settings.bytes,
            response_bytes: settings.answer_bytes,
        };
        Self {
            table: ActionTable::new(limits),
            keyed: ActionTable::new(limits),
            keys,
            id_lifetime: settings.id_lifetime,
            key_lifetime: settings.key_lifetime,
            running: TaskTracker::new(),
            quarantine: Mutex::default(),
            claims: OnceLock::new(),
        }
    }

    /// GuardedActions being run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Waits until the actions being run have ended.
    pub async fn finish(&self) {
        self.running.close();
        self.running.wait().await;
    }

    /// GuardedActions kept.
    pub fn len(&self) -> usize {
        self.table.len() + self.keyed.len()
    }

    /// Whether no action is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory that kept actions take, with what is reserved for answers, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.table.memory_bytes() + self.keyed.memory_bytes()
    }
}
