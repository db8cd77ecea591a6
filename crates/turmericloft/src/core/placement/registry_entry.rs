//! What one gateway knows of one registry entry.

use std::time::Instant;

use super::{DiscoveredEndpoint, EndpointState, RegistryPosition};

/// State of one entry, with its place in the registry's history.
#[derive(Clone, Debug)]
pub(super) struct RegistryEntry {
    /// Position of the last record that was applied.
    pub(super) position: RegistryPosition,
    /// Whether that record was certainly written in the era of its position.
    pub(super) is_proven: bool,
    /// Position of the last record that changed more than the remaining warm-up time.
    pub(super) changed_at: RegistryPosition,
    /// `None` if the entry was removed.
    pub(super) endpoint: Option<DiscoveredEndpoint>,
    /// Start of the last known incarnation, also after its removal; in Unix milliseconds.
    pub(super) last_started_at_ms: u64,
    /// When a retained entry is removed unless its endpoint registers again; `None` for an entry
    /// that is not retained.
    pub(super) expires_at: Option<Instant>,
}

impl RegistryEntry {
    /// Whether the registry, when it was last read, held the endpoint.
    pub(super) fn is_registered(&self) -> bool {
        self.endpoint.is_some() && self.expires_at.is_none()
    }

    /// Whether `listed`, which may come from an older copy of the registry, can be the present
    /// state. An incarnation goes from ready to draining to removed and never back.
    pub(super) fn may_become(&self, listed: &DiscoveredEndpoint) -> bool {
        match &self.endpoint {
            Some(known) => progress(listed) >= progress(known),
            None => listed.started_at_ms > self.last_started_at_ms,
        }
    }
}

/// Sort key of the states of one endpoint, in the order in which it passes through them.
fn progress(endpoint: &DiscoveredEndpoint) -> (u64, bool) {
    let is_draining = endpoint.state == EndpointState::Draining;
    (endpoint.started_at_ms, is_draining)
}
