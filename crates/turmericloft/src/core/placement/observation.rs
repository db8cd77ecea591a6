//! State of one registry entry.

use serde::{Deserialize, Serialize};

use super::{DiscoveredEndpoint, InstanceId, RegistryPosition};

/// State of one entry as it was read, with the position of its record in the registry's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Identity of the endpoint.
    pub id: InstanceId,
    /// Position of the record, in the era in which it was read. A record with a lower position than
    /// a known one is ignored.
    pub position: RegistryPosition,
    /// Whether the record was certainly written in that era. One that was in the registry when the
    /// era began may be older than what was known before.
    pub is_proven: bool,
    /// Endpoint in the entry; `None` if the entry was removed or is invalid.
    pub endpoint: Option<DiscoveredEndpoint>,
}
