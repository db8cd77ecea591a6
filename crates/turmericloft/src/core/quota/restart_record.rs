//! The record that one process on a host leaves to the next one.

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

/// What the next process on a host has to know of the grants of this one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartRecord {
    /// Organisations of which the owner may have granted more than two thirds of its part in a window.
    pub busy: BTreeSet<Arc<str>>,
    /// Whether the owner may be in the first window after a restart.
    pub is_restarting: bool,
}

impl RestartRecord {
    /// Whether the next process may grant the last third of its part in its first window.
    pub(super) fn allows_reserve(&self, organisation: &str) -> bool {
        !self.is_restarting && !self.busy.contains(organisation)
    }

    /// What both records say.
    pub(super) fn intersection(&self, other: &Self) -> Self {
        Self {
            busy: self.busy.intersection(&other.busy).cloned().collect(),
            is_restarting: self.is_restarting && other.is_restarting,
        }
    }

    /// What either record says.
    pub(super) fn union(&self, other: &Self) -> Self {
        Self {
            busy: self.busy.union(&other.busy).cloned().collect(),
            is_restarting: self.is_restarting || other.is_restarting,
        }
    }
}
