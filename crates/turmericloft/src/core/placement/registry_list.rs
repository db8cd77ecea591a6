//! The whole registry, as one read returns it.

use super::{Observation, RegistryEra, RegistryPosition};

/// Newest record of every entry, read page by page in one era.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryList {
    /// Era in which all pages were read.
    pub era: RegistryEra,
    /// Offset up to which the list is complete (exclusive).
    pub end: u64,
    /// Offset at which the next read continues; records between it and `end` are read again.
    pub next_offset: u64,
    /// The entries, each with the era of the list.
    pub observations: Vec<Observation>,
}

impl RegistryList {
    /// Position up to which the list is complete (exclusive).
    pub fn end_position(&self) -> RegistryPosition {
        RegistryPosition::new(self.era, self.end)
    }

    /// Position at which the next read continues.
    pub fn next_position(&self) -> RegistryPosition {
        RegistryPosition::new(self.era, self.next_offset)
    }
}
