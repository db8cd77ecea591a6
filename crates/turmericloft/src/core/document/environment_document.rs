//! The environment document and its parser.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Caller, MeasurementBudget, Service, Zone};

/// The document of an environment, as an operator writes it in TOML.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version of the document's schema.
    pub schema: u32,
    /// Limits for the cost of measurement on each host.
    #[serde(default)]
    pub budget: MeasurementBudget,
    /// Availability zones that endpoints refer to.
    pub zones: Vec<Zone>,
    /// Services with their endpoints and kinds of request.
    pub services: Vec<Service>,
    /// Callers with their contracts.
    pub callers: Vec<Caller>,
}

/// Why a text cannot be parsed as a [`Document`].
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The text is not valid TOML or does not match the schema; the source error has line and key.
    #[error("failed to parse the document")]
    Syntax(#[from] toml::de::Error),
    /// The document has another schema version than this program supports.
    #[error("schema {found} is not supported; this program supports schema {supported}", supported = Document::SCHEMA)]
    Schema {
        /// Schema version in the document.
        found: u32,
    },
    /// The document exceeds [`Document::MAX_BYTES`].
    #[error("the document has {found} bytes; at most {limit} are allowed", limit = Document::MAX_BYTES)]
    TooLarge {
        /// Size of the document, in bytes.
        found: usize,
    },
}

impl Document {
    /// Version of the schema that this program reads and writes.
    pub const SCHEMA: u32 = 1;
    /// Maximum size of a document, in bytes.
    pub const MAX_BYTES: usize = 4 << 20;

    /// Parses a document from TOML. Checks its size and schema, but not the rules that
    /// [`check_document`](super::check_document) checks.
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
