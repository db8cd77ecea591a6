//! Recent changes of the document, for followers that have an earlier version.
//!
//! Load pattern: an operator changes one route of thousands several times a second, and hundreds of gateways
//! learn of it over slow links. The changes have a few hundred bytes where the document has several hundred
//! kilobytes.

use std::collections::VecDeque;

use crate::core::traffic::{DocumentChanges, TrafficDocument};

/// Maximum number of versions that a follower may be behind and still get changes.
const MAX_STEPS: usize = 64;

/// The steps that led to the newest document, the oldest first. Each follows the one before.
#[derive(Clone, Debug, Default)]
pub struct DocumentHistory {
    steps: VecDeque<DocumentChanges>,
}

impl DocumentHistory {
    /// Records that `later` has replaced `base`. Steps that change more routes than the document has are
    /// dropped, since the whole document is smaller.
    pub fn record(&mut self, base: &TrafficDocument, later: &TrafficDocument) {
        let Some(step) = DocumentChanges::between(base, later) else {
            self.steps.clear();
            return;
        };
        if self
            .steps
            .back()
            .is_some_and(|last| last.version() != step.base())
        {
            self.steps.clear();
        }
        self.steps.push_back(step);
        let mut changed: usize = self.steps.iter().map(DocumentChanges::route_count).sum();
        while self.steps.len() > MAX_STEPS || changed > later.routes.len() {
            let Some(dropped) = self.steps.pop_front() else {
                break;
            };
            changed -= dropped.route_count();
        }
    }

    /// The steps from `version` to the newest one; `None` if they are not known.
    pub fn since(&self, version: u64) -> Option<Vec<DocumentChanges>> {
        let first = self.steps.iter().position(|step| step.base() == version)?;
        Some(self.steps.iter().skip(first).cloned().collect())
    }
}
