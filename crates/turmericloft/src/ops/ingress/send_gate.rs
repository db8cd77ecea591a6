//! Whether a request was sent to anybody.

use std::sync::atomic::{AtomicU8, Ordering};

const OPEN: u8 = 0;
const SENT: u8 = 1;
const REFUSED: u8 = 2;

/// Decides between sending a request and telling its client that it never will be sent. The two exclude each other,
/// also if an attempt in a task of its own goes on while the client gets its response.
#[derive(Debug, Default)]
pub(super) struct SendGate(AtomicU8);

impl SendGate {
    /// Whether the request may be sent. It counts as sent from then on.
    pub(super) fn try_send(&self) -> bool {
        self.turn_to(SENT)
    }

    /// Whether the client may be told that the request has not run and never will. It can't be sent from then on.
    pub(super) fn try_refuse(&self) -> bool {
        self.turn_to(REFUSED)
    }

    fn turn_to(&self, state: u8) -> bool {
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        let turned = self.0.compare_exchange(OPEN, state, success, failure);
        turned.is_ok() || turned == Err(state)
    }
}
