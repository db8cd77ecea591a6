//! What the store says of one zone.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::core::placement::RegistryPosition;

/// Newest known record of one zone. It is serialised in messages to other gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Name of the zone, as in the entries of its endpoints.
    pub zone: Arc<str>,
    /// Position of the record in the history of its topic.
    pub position: RegistryPosition,
    /// Whether it evacuates the zone; otherwise it ends the evacuation.
    pub is_evacuated: bool,
}
