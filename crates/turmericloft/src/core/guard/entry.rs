//! Entries of an action table.

use std::sync::Arc;

use super::{ActionKey, ActionResponse, Fingerprint, Stage};

/// An action and its state.
#[derive(Debug)]
pub(super) struct Entry<W> {
    pub(super) fingerprint: Fingerprint,
    /// Time from which the entry may be removed once completed, in milliseconds since the Unix
    /// epoch.
    pub(super) remove_after_ms: u64,
    pub(super) state: State<W>,
}

#[derive(Debug)]
pub(super) enum State<W> {
    Pending { stage: Stage, waiters: Vec<W> },
    Completed(Arc<ActionResponse>),
}

/// Returns the memory that a completed action with this response uses in a table, in bytes.
pub fn completed_entry_bytes(key: &ActionKey, response: &ActionResponse) -> usize {
    Entry::<()>::overhead(key) + response.memory_bytes()
}

impl<W> Entry<W> {
    /// Memory that an entry uses besides its response, in bytes.
    pub(super) fn overhead(key: &ActionKey) -> usize {
        key.memory_bytes() + size_of::<Self>()
    }

    pub(super) fn can_remove(&self, now_ms: u64) -> bool {
        matches!(self.state, State::Completed(_)) && now_ms >= self.remove_after_ms
    }

    /// Memory that the stored response uses, or what is reserved for it, in bytes.
    pub(super) fn response_bytes(&self, reserved: usize) -> usize {
        match &self.state {
            State::Pending { .. } => reserved,
            State::Completed(response) => response.memory_bytes(),
        }
    }
}
