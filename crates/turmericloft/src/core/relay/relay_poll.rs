//! The question of a follower.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Asks the followed gateway for what is newer than the follower knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPoll {
    /// Name of the follower's host.
    pub host: Arc<str>,
    /// Place in the registry's history up to which the follower knows it.
    pub from: u64,
    /// Newest version of the document that the follower knows of; 0 if it knows of none.
    pub document_version: u64,
}
