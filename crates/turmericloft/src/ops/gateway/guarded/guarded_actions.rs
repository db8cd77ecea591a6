//! State of the guarded actions of a gateway.

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

/// A copy of a request that waits for the response of its action.
#[derive(Debug)]
pub(super) struct ResponseWaiter(pub(super) oneshot::Sender<Arc<ActionResponse>>);

impl Waiter for ResponseWaiter {
    fn notify(self, response: Arc<ActionResponse>) {
        let _ = self.0.send(response);
    }
}

/// Guarded actions accepted by this gateway incarnation, and what is needed to run them.
#[derive(Debug)]
pub struct GuardedActions {
    /// Actions with issued ids.
    pub(super) issued: Arc<ActionTable<ResponseWaiter>>,
    /// Actions with idempotency keys. They have a table of their own so that keys abandoned during
    /// an outage of the log leave capacity for issued ids.
    pub(super) keyed: Arc<ActionTable<ResponseWaiter>>,
    pub(super) keys: ActionKeys,
    pub(super) id_lifetime: Duration,
    pub(super) key_lifetime: Duration,
    /// Tasks of running actions, whether or not a caller waits.
    pub(super) running: TaskTracker,
    pub(super) quarantine: Mutex<Quarantine>,
    /// Empty until the gateway has a log service, see [`start_claims`](super::start_claims).
    pub(super) claims: OnceLock<Arc<ClaimLog>>,
}

impl GuardedActions {
    /// Creates the state without any action. Without a secret in `settings`, action ids are signed
    /// with a random key of this process.
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
            issued: ActionTable::new(limits),
            keyed: ActionTable::new(limits),
            keys,
            id_lifetime: settings.id_lifetime,
            key_lifetime: settings.key_lifetime,
            running: TaskTracker::new(),
            quarantine: Mutex::default(),
            claims: OnceLock::new(),
        }
    }

    /// Returns the number of running actions.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Waits until all running actions have ended.
    pub async fn finish(&self) {
        self.running.close();
        self.running.wait().await;
    }

    /// Returns the number of actions in both tables, pending and completed.
    pub fn len(&self) -> usize {
        self.issued.len() + self.keyed.len()
    }

    /// Returns whether both tables are empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that both tables use, in bytes, including what is reserved for the
    /// responses of pending actions.
    pub fn memory_bytes(&self) -> usize {
        self.issued.memory_bytes() + self.keyed.memory_bytes()
    }
}
