//! A promoted document as it stands in the log service.

use serde::{Deserialize, Serialize};

use crate::core::{Name, document::Digest};

/// One promotion, appended by an operator to the stream of an environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// Version that this record makes, if it is accepted: its parent's plus one.
    pub version: u64,
    /// Digest of the document it replaces; none for the first.
    pub parent: Option<Digest>,
    /// Drawn at random for each promotion; settles whether an append took effect.
    pub promotion_id: String,
    /// Who promoted it.
    pub author: Name,
    /// Time of promotion on the operator's machine, in milliseconds since the Unix epoch.
    pub promoted_at_ms: u64,
    /// Digest of `document`.
    pub digest: Digest,
    /// The document's text, unchanged.
    pub document: String,
}

impl ConfigRecord {
    /// Stream of an environment's records.
    pub fn stream(environment: &Name) -> String {
        format!("config.{environment}")
    }
}
