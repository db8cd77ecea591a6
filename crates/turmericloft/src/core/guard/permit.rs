//! Permits to run an action, typed by its stage.

use std::{marker::PhantomData, sync::Arc};

use super::{ActionKey, ActionResponse, ActionTable, Stage, Waiter};

/// Stage type for [`Stage::Received`].
#[derive(Debug)]
pub enum Received {}

/// Stage type for [`Stage::Claimed`].
#[derive(Debug)]
pub enum Claimed {}

/// Stage type for [`Stage::Dispatched`].
#[derive(Debug)]
pub enum Dispatched {}

/// Stages from which an action may be dispatched.
///
/// [`Received`] is one of them because an action with an issued id needs no claim.
pub trait Dispatchable {}

impl Dispatchable for Received {}

impl Dispatchable for Claimed {}

/// The only permit to run an action. It cannot be cloned, and each transition consumes it.
///
/// If it is dropped before the action is completed, the action ends with the outcome not-run if it
/// was not dispatched yet, and with unknown otherwise.
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
    /// Returns the key of the action.
    pub fn key(&self) -> &ActionKey {
        &self.inner.key
    }

    /// Completes the action and notifies all its waiters with the response.
    pub fn complete(mut self, response: ActionResponse) -> Arc<ActionResponse> {
        self.inner.completed = true;
        let response = Arc::new(response);
        self.inner.table.complete(&self.inner.key, &response);
        response
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

    /// Moves to the next stage after this action's claim was read back as the first for its key.
    pub fn into_claimed(self) -> Permit<Claimed, W> {
        self.advance(Stage::Claimed)
    }
}

impl<S: Dispatchable, W: Waiter> Permit<S, W> {
    /// Moves to the next stage before the action is sent to a backend server.
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
