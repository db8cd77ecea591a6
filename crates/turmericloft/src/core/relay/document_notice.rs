//! Confirmation of the document between two responses.

use serde::{Deserialize, Serialize};

use super::DocumentAsOf;
use crate::core::{evacuation::EvacuationList, placement::RegistryPosition};

/// Tells a follower that the upstream's document was confirmed, without a response to its poll: that one
/// waits for the next read of the endpoints, which would make it late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentNotice {
    /// Newest document version that the upstream knows to exist.
    pub version: u64,
    /// Position in the document's topic up to which it is the newest version.
    pub position: RegistryPosition,
    /// All evacuated zones; the confirmation covers them too.
    pub evacuation: EvacuationList,
    /// As of when, from the arrival of the earliest poll that has no response yet.
    pub as_of: DocumentAsOf,
}
