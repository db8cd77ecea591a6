//! The zones that get no requests now.

use std::{collections::BTreeSet, sync::Arc};

/// Names of the evacuated zones; empty unless the operator has evacuated any.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    names: Arc<BTreeSet<Arc<str>>>,
}

impl EvacuatedZones {
    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.names.contains(zone)
    }

    /// Number of evacuated zones.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// Names of the evacuated zones in alphabetical order.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.names.iter()
    }
}

impl FromIterator<Arc<str>> for EvacuatedZones {
    fn from_iter<I: IntoIterator<Item = Arc<str>>>(names: I) -> Self {
        Self {
            names: Arc::new(names.into_iter().collect()),
        }
    }
}
