//! What a record of a configuration stream holds.

use thiserror::Error;

use super::{Checkpoint, ConfigRecord};
use crate::core::document::Digest;

/// A readable record of a configuration stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEntry {
    /// An operator's promotion.
    Promotion(Box<ConfigRecord>),
    /// A gateway's checkpoint.
    Checkpoint(Box<Checkpoint>),
}

/// Why bytes are not an entry.
#[derive(Debug, Error)]
pub enum EntryError {
    /// More bytes than any reader takes.
    #[error("the record has {found} bytes; at most {limit} are read", limit = LogEntry::MAX_BYTES)]
    TooLarge {
        /// Size, in bytes.
        found: usize,
    },
    /// Neither a promotion nor a checkpoint.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The document was changed or cut.
    #[error("the digest does not fit the document")]
    Digest,
}

impl LogEntry {
    /// Largest entry, in bytes.
    pub const MAX_BYTES: usize = 8 << 20;

    /// Reads an entry and checks its digest.
    pub fn decode(bytes: &[u8]) -> Result<Self, EntryError> {
        if bytes.len() > Self::MAX_BYTES {
            return Err(EntryError::TooLarge { found: bytes.len() });
        }
        let entry = match serde_json::from_slice(bytes) {
            Ok(record) => Self::Promotion(Box::new(record)),
            Err(e) => match serde_json::from_slice(bytes) {
                Ok(checkpoint) => Self::Checkpoint(Box::new(checkpoint)),
                Err(_) => return Err(e.into()),
            },
        };
        let record = entry.record();
        if Digest::of(record.document.as_bytes()) != record.digest {
            return Err(EntryError::Digest);
        }
        Ok(entry)
    }

    fn record(&self) -> &ConfigRecord {
        match self {
            Self::Promotion(record) => record,
            Self::Checkpoint(checkpoint) => &checkpoint.record,
        }
    }
}
