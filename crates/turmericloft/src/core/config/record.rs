//! The log record of a promoted document.

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::deflated::Deflated;
use crate::core::{Name, document::Digest};

/// A promotion that an operator appended to the configuration stream of an environment.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// Version of the document once the record is accepted: the parent's plus one, or in a
    /// [`Recovery`](super::Recovery) any version above the known ones.
    pub version: u64,
    /// Digest of the document that it replaces; `None` for the first record and for recoveries.
    pub parent: Option<Digest>,
    /// Random identifier, by which the operator finds out whether an append took effect.
    pub promotion_id: String,
    /// The operator who promoted the document.
    pub author: Name,
    /// Time of promotion on the operator's machine, in milliseconds since the Unix epoch.
    pub promoted_at_ms: u64,
    /// SHA-256 of `document`.
    pub digest: Digest,
    /// Unmodified text of the document; compressed in the serialised form.
    #[serde_as(as = "Deflated")]
    pub document: String,
}

/// A [`ConfigRecord`] without its parent and its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionSummary {
    /// Version of the document once the record is accepted.
    pub version: u64,
    /// Random identifier of the promotion.
    pub promotion_id: String,
    /// The operator who promoted the document.
    pub author: Name,
    /// Time of promotion on the operator's machine, in milliseconds since the Unix epoch.
    pub promoted_at_ms: u64,
    /// SHA-256 of the document.
    pub digest: Digest,
}

impl ConfigRecord {
    /// Copies everything but the parent and the document.
    pub fn summary(&self) -> PromotionSummary {
        PromotionSummary {
            version: self.version,
            promotion_id: self.promotion_id.clone(),
            author: self.author.clone(),
            promoted_at_ms: self.promoted_at_ms,
            digest: self.digest,
        }
    }

    /// Name of the log stream for the configuration records of an environment.
    pub fn stream(environment: &Name) -> String {
        format!("config.{environment}")
    }
}
