//! Generations of the registry's history.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Generation of the registry's history. It rises when the registry returns from an older copy of
/// its data: the records after that copy are lost, and their offsets are given out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RegistryEra(pub u64);

impl fmt::Display for RegistryEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
