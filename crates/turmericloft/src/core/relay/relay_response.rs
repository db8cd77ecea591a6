//! Response of an upstream to a follower's poll.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::{placement::Observation, traffic::TrafficDocument};

/// Changes since the follower's offset, and the time as of which they are complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayResponse {
    /// Time from the arrival of the poll to the instant as of which the changes reflect the
    /// registry; `None` if the registry has not been read since the poll arrived. It is measured
    /// by the upstream's monotonic clock. If that clock was suspended in between, the real instant
    /// is later than reported, which is safe. Instants before the poll are never reported, because
    /// the clock may have been suspended since then.
    #[serde(rename = "known_after")]
    pub as_of_after_poll: Option<Duration>,
    /// Whether the upstream's own data is fresh enough to be used.
    pub is_current: bool,
    /// Number of relay hops between the gateway that read the registry and the follower.
    pub hops: u32,
    /// Registry offset up to which the changes are complete (exclusive).
    #[serde(rename = "next")]
    pub next_offset: u64,
    /// Newest observation of each entry that changed at or after the polled offset.
    pub changes: Vec<Observation>,
    /// Newest document version that the upstream knows to exist; 0 if it knows of none.
    pub document_version: u64,
    /// The document of the upstream, if it is newer than the follower's and small. Each gateway
    /// reads a large document from the store instead, because relaying it would occupy the links
    /// between the gateways one after the other.
    pub document: Option<TrafficDocument>,
}
