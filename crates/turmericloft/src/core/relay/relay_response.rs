//! The answer to a follower.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::{placement::Observation, traffic::TrafficDocument};

/// What is newer than a follower knows, and as of when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayResponse {
    /// Time from the arrival of the question to a moment whose state of the registry is told; none
    /// if it was not read since the question. The steady clock of the answering host gives it, and
    /// if that stood still in between, the moment was later than told. Nothing can be told of
    /// moments before the question: the clock may have stood still since then.
    pub known_after: Option<Duration>,
    /// Whether the answering gateway relies on what it knows itself.
    pub is_current: bool,
    /// Gateways between the reader of the registry and the follower.
    pub hops: u32,
    /// Place in the registry's history up to which the changes go.
    pub next: u64,
    /// Entries that changed, as they are now.
    pub changes: Vec<Observation>,
    /// Newest version of the document that is known of; 0 if none is.
    pub document_version: u64,
    /// That document, if it is newer than the follower's and small. A large one is read from the
    /// store by each gateway, as passing it on would take the links one after the other.
    pub document: Option<TrafficDocument>,
}
