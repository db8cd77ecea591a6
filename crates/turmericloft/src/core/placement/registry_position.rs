//! Positions in the registry's history.

use serde::{Deserialize, Serialize};

use super::RegistryEra;

/// Place of a record in the registry's history. A later era is after all offsets of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RegistryPosition {
    /// Generation of the history.
    pub era: RegistryEra,
    /// Offset in the registry's log.
    pub offset: u64,
}

impl RegistryPosition {
    /// The place at `offset` in `era`.
    pub fn new(era: RegistryEra, offset: u64) -> Self {
        Self { era, offset }
    }
}
