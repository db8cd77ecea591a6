//! Identity of one incarnation of a host.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Name;

/// A host's name and its incarnation, which differs for every start of its process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostId {
    /// Name from the host's settings.
    pub name: Name,
    /// Milliseconds since the Unix epoch at the start of the process.
    pub incarnation: u64,
}

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.name, self.incarnation)
    }
}
