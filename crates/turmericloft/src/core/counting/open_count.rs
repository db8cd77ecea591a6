//! A counted request that has not ended.

use std::sync::Arc;

use super::{CountKey, Ledger};
use crate::core::Outcome;

/// An admitted request; ending it takes it, so that it ends once. Dropped, it is unfinished.
#[derive(Debug)]
pub struct OpenCount {
    ledger: Arc<Ledger>,
    key: CountKey,
    ended: bool,
}

impl OpenCount {
    pub(super) fn new(ledger: Arc<Ledger>, key: CountKey) -> Self {
        Self {
            ledger,
            key,
            ended: false,
        }
    }

    /// Ends the request with `outcome`.
    pub fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.ledger.end(&self.key, outcome);
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        if !self.ended {
            self.ledger.end(&self.key, Outcome::Unfinished);
        }
    }
}
