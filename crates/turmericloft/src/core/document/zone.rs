//! Availability zones.

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// An availability zone and the region it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone, unique within the document.
    pub name: Name,
    /// Name of the region.
    pub region: Name,
}
