//! A promoted document as it stands in the log service.

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::deflated::Deflated;
use crate::core::{Name, document::Digest};

/// One promotion, appended by an operator to the stream of an environment.
#[serde_as]
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
    /// The document's text, unchanged; compressed where it is stored.
    #[serde_as(as = "Deflated")]
    pub document: String,
}

/// A promotion without its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionSummary {
    /// Version that it makes, if it is accepted.
    pub version: u64,
    /// Drawn at random for each promotion.
    pub promotion_id: String,
    /// Who promoted it.
    pub author: Name,
    /// Time of promotion on the operator's machine, in milliseconds since the Unix epoch.
    pub promoted_at_ms: u64,
    /// Digest of the document.
    pub digest: Digest,
}

impl ConfigRecord {
    /// The record without its document.
    pub fn summary(&self) -> PromotionSummary {
        PromotionSummary {
            version: self.version,
            promotion_id: self.promotion_id.clone(),
            author: self.author.clone(),
            promoted_at_ms: self.promoted_at_ms,
            digest: self.digest,
        }
    }

    /// Stream of an environment's records.
    pub fn stream(environment: &Name) -> String {
        format!("config.{environment}")
    }
}
