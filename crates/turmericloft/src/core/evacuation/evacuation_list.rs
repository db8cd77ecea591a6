//! All evacuated zones, as one read or one gateway knows them.

use serde::{Deserialize, Serialize};

use super::ZoneRecord;
use crate::core::placement::RegistryPosition;

/// A list of the zone records of one era. A zone that it lacks is not evacuated as of its position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Position up to which the list is complete (exclusive).
    pub next: RegistryPosition,
    /// Position after the latest change that the list reflects; the lowest one if there never was a change.
    pub changed_at: RegistryPosition,
    /// Records of zones. One of an earlier era than that of the list is of a zone that the present era lacks, and
    /// that stays evacuated for a while.
    pub zones: Vec<ZoneRecord>,
}
