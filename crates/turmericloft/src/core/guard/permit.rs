//! Permission to run one action, by stage.

use std::{marker::PhantomData, sync::Arc};

use super::{ActionKey, ActionResponse, ActionTable, Stage, Waiter};

/// Stage type: accepted by the executor.
#[derive(Debug)]
pub enum Received {}

/// Stage type: the claim in the log is the action's own.
#[derive(Debug)]
pub enum Claimed {}

/// Stage type: bytes may reach a backend server.
#[derive(Debug)]
pub enum Dispatched {}

/// Stages from which an action may be sent: an action with an issued id needs no claim.
pub trait Dispatchable {}

impl Dispatchable for Received {}

impl Dispatchable for Claimed {}

/// The only permission to run an action. It is not cloned, and each step takes it.
///
/// Dropped before it is completed, the action ends: as not-run while nothing was dispatched,
/// otherwise as unknown.
#[derive(Debug)]
pub struct Permit<S, W: Waiter> {
    inner: PermitInner<W>,
    stage: PhantomData<S>,
}

#[derive(Debug)]
struct PermitInner<W: Waiter> {
    table: Arc<ActionTable<W>>,
    key: ActionKey,
    completed: bool,
}

impl<S, W: Waiter> Permit<S, W> {
    /// Key of the action.
    pub fn key(&self) -> &ActionKey {
        &self.inner.key
    }

    /// Ends the action with its answer, which every waiting copy gets.
    pub fn complete(mut self, answer: ActionResponse) -> Arc<ActionResponse> {
        self.inner.completed = true;
        let answer = Arc::new(answer);
        self.inner.table.complete(&self.inner.key, &answer);
        answer
    }

    fn advance<T>(self, stage: Stage) -> Permit<T, W> {
        self.inner.table.advance(&self.inner.key, stage);
        Permit {
            inner: self.inner,
            stage: PhantomData,
        }
    }
}

impl<W: Waiter> Permit<Received, W> {
    pub(super) fn new(table: Arc<ActionTable<W>>, key: ActionKey) -> Self {
        Self {
            inner: PermitInner {
                table,
                key,
                completed: false,
            },
            stage: PhantomData,
        }
    }

    /// The action's claim was read back as the first for its key.
    pub fn into_claimed(self) -> Permit<Claimed, W> {
        self.advance(Stage::Claimed)
    }
}

impl<S: Dispatchable, W: Waiter> Permit<S, W> {
    /// The action is about to be sent.
    pub fn into_dispatched(self) -> Permit<Dispatched, W> {
        self.advance(Stage::Dispatched)
    }
}

impl<W: Waiter> Drop for PermitInner<W> {
    fn drop(&mut self) {
        if !self.completed {
            self.table.abandon(&self.key);
        }
    }
}
