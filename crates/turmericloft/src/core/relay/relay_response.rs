//! Response of an upstream to a follower's poll.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{DocumentAsOf, PollOffset, RelayedDocument};
use crate::core::{
    evacuation::EvacuationList,
    placement::{Observation, RegistryPosition},
};

/// Changes since the follower's position, and the time as of which they are complete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayResponse {
    /// Time from the arrival of the poll to the instant as of which the changes reflect the
    /// registry; `None` if the registry has not been read since the poll arrived. It is measured
    /// by the upstream's clock, which counts the time of suspensions. Instants before the poll are
    /// never reported: a clock that left out a suspension would make them look later.
    #[serde(rename = "known_after")]
    pub as_of_after_poll: Option<Duration>,
    /// Whether the upstream's own data is fresh enough to be used.
    pub is_current: bool,
    /// Number of relay hops between the gateway that read the registry and the follower.
    pub hops: u32,
    /// Position in the registry up to which the changes are complete (exclusive).
    pub next: RegistryPosition,
    /// Whether `changes` are all registered entries: the follower knows an earlier era, or data from before the upstream
    /// started.
    pub is_full_list: bool,
    /// Newest observation of each entry that changed at or after the polled position.
    pub changes: Vec<Observation>,
    /// Until when entries that are removed here may be those of running endpoints; `None` if that is over.
    pub retained_until: Option<PollOffset>,
    /// Newest document version that the upstream knows to exist; 0 if it knows of none.
    pub document_version: u64,
    /// As of when that version is the newest one; `None` if the upstream does not know.
    pub document_as_of: Option<DocumentAsOf>,
    /// All evacuated zones. A confirmation of the document covers them too.
    pub evacuation: EvacuationList,
    /// Position in the document's topic up to which `document_version` is the newest version.
    pub document_position: RegistryPosition,
    /// The document of the upstream, if it is newer than the follower's.
    pub document: Option<RelayedDocument>,
}
