//! The document as a whole.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Caller, MeasurementBudget, Service, Zone};

/// An environment document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version of the document's schema.
    pub schema: u32,
    /// What measuring may cost on each host.
    #[serde(default)]
    pub budget: MeasurementBudget,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Services.
    pub services: Vec<Service>,
    /// Callers.
    pub callers: Vec<Caller>,
}

/// Why bytes are not a document.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The text is not TOML of the document's shape; the message has line and key.
    #[error("the document cannot be read")]
    Syntax(#[from] toml::de::Error),
    /// The schema is newer or older than this program's.
    #[error("schema {found} is not supported; this program reads schema {supported}", supported = Document::SCHEMA)]
    Schema {
        /// Schema named in the document.
        found: u32,
    },
    /// The document is larger than any gateway takes.
    #[error("the document has {found} bytes; at most {limit} are allowed", limit = Document::MAX_BYTES)]
    TooLarge {
        /// Size of the document, in bytes.
        found: usize,
    },
}

impl Document {
    /// The schema that this program reads and writes.
    pub const SCHEMA: u32 = 1;
    /// Largest document, in bytes.
    pub const MAX_BYTES: usize = 4 << 20;

    /// Reads a document from TOML.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        if text.len() > Self::MAX_BYTES {
            return Err(DocumentError::TooLarge { found: text.len() });
        }
        let document: Self = toml::from_str(text)?;
        if document.schema != Self::SCHEMA {
            return Err(DocumentError::Schema {
                found: document.schema,
            });
        }
        Ok(document)
    }
}
