//! Request of a follower to its upstream.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::placement::RegistryPosition;

/// Asks the upstream for everything newer than the follower's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPoll {
    /// Name of the follower's host.
    pub host: Arc<str>,
    /// Position in the registry from which on the follower needs changes; it has applied all records
    /// before.
    pub from: RegistryPosition,
    /// Newest document version that the follower knows to exist; 0 if it knows of none.
    pub document_version: u64,
    /// Version of the follower's active document, which may be relayed as changes to it; 0 if it has none.
    pub active_version: u64,
    /// Position after the latest change of the evacuated zones that the follower knows.
    pub evacuation: RegistryPosition,
    /// Whether the follower knows that the upstream's data is stale, and waits until it is not.
    pub awaits_current: bool,
}
