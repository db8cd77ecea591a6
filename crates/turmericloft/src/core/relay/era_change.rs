//! Return of the registry from an older copy of its data, as one gateway saw it.

use crate::core::placement::RegistryEra;

/// Change from one era of the registry to a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraChange {
    /// Era before the change.
    pub before: RegistryEra,
    /// Era since the change.
    pub era: RegistryEra,
    /// Entries that the older copy lacked and that were retained at first.
    pub retained: usize,
    /// Those of the retained entries that did not register again in time.
    pub dropped: usize,
}
