//! One action in the table.

use std::sync::Arc;

use super::{ActionKey, ActionResponse, Fingerprint, Stage};

/// An action and what is known of it.
#[derive(Debug)]
pub(super) struct Entry<W> {
    pub(super) fingerprint: Fingerprint,
    /// Time from which on the entry may be forgotten, in milliseconds since the Unix epoch.
    pub(super) remove_after_ms: u64,
    pub(super) state: State<W>,
}

#[derive(Debug)]
pub(super) enum State<W> {
    Pending { stage: Stage, waiters: Vec<W> },
    Completed(Arc<ActionResponse>),
}

/// Memory that an action with this answer takes in a table, in bytes.
pub fn completed_entry_bytes(key: &ActionKey, answer: &ActionResponse) -> usize {
    Entry::<()>::overhead(key) + answer.memory_bytes()
}

impl<W> Entry<W> {
    /// Memory that an entry takes besides its answer, in bytes.
    pub(super) fn overhead(key: &ActionKey) -> usize {
        key.memory_bytes() + size_of::<Self>()
    }

    pub(super) fn can_remove(&self, now_ms: u64) -> bool {
        matches!(self.state, State::Completed(_)) && now_ms >= self.remove_after_ms
    }

    /// Memory that the kept answer takes, or what is reserved for it.
    pub(super) fn response_bytes(&self, reserved: usize) -> usize {
        match &self.state {
            State::Pending { .. } => reserved,
            State::Completed(answer) => answer.memory_bytes(),
        }
    }
}
