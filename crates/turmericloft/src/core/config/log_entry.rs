//! What a record of a configuration stream holds.
//!
//! It is JSON, followed by a line with the SHA-256 of that JSON, so that a record in which any
//! byte has changed is left out.

use serde::Serialize;
use thiserror::Error;

use super::{Checkpoint, ConfigRecord, Recovery};
use crate::core::document::Digest;

/// A readable record of a configuration stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEntry {
    /// An operator's promotion.
    Promotion(Box<ConfigRecord>),
    /// A gateway's checkpoint.
    Checkpoint(Box<Checkpoint>),
    /// An operator's promotion without a parent.
    Recovery(Box<Recovery>),
}

/// Why bytes are not an entry.
#[derive(Debug, Error)]
pub enum LogEntryError {
    /// More bytes than any reader takes.
    #[error("the record has {found} bytes; at most {limit} are read", limit = LogEntry::MAX_BYTES)]
    TooLarge {
        /// Size, in bytes.
        found: usize,
    },
    /// The record was changed or cut.
    #[error("the checksum does not fit the record")]
    Checksum,
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
    pub fn decode(bytes: &[u8]) -> Result<Self, LogEntryError> {
        if bytes.len() > Self::MAX_BYTES {
            return Err(LogEntryError::TooLarge { found: bytes.len() });
        }
        let json = checked(bytes)?;
        let entry = Self::read(json)?;
        let record = entry.record();
        if Digest::of(record.document.as_bytes()) != record.digest {
            return Err(LogEntryError::Digest);
        }
        Ok(entry)
    }

    /// Reads the JSON as the first kind of entry that fits; the error is that of a promotion.
    fn read(json: &[u8]) -> Result<Self, serde_json::Error> {
        let e = match serde_json::from_slice(json) {
            Ok(record) => return Ok(Self::Promotion(Box::new(record))),
            Err(e) => e,
        };
        if let Ok(checkpoint) = serde_json::from_slice(json) {
            return Ok(Self::Checkpoint(Box::new(checkpoint)));
        }
        if let Ok(recovery) = serde_json::from_slice(json) {
            return Ok(Self::Recovery(Box::new(recovery)));
        }
        Err(e)
    }

    fn record(&self) -> &ConfigRecord {
        match self {
            Self::Recovery(recovery) => &recovery.recovered,
            Self::Promotion(record) => record,
            Self::Checkpoint(checkpoint) => &checkpoint.record,
        }
    }
}

impl ConfigRecord {
    /// The promotion as it stands in the log.
    pub fn encode(&self) -> Result<Vec<u8>, LogEntryError> {
        encode(self)
    }
}

impl Recovery {
    /// The recovery as it stands in the log.
    pub fn encode(&self) -> Result<Vec<u8>, LogEntryError> {
        encode(self)
    }
}

impl Checkpoint {
    /// The checkpoint as it stands in the log, or is handed to a peer.
    pub fn encode(&self) -> Result<Vec<u8>, LogEntryError> {
        encode(self)
    }
}

fn encode<T: Serialize>(entry: &T) -> Result<Vec<u8>, LogEntryError> {
    let mut bytes = serde_json::to_vec(entry)?;
    let checksum = Digest::of(&bytes).to_string();
    bytes.push(b'\n');
    bytes.extend(checksum.as_bytes());
    Ok(bytes)
}

fn checked(bytes: &[u8]) -> Result<&[u8], LogEntryError> {
    let end = bytes.iter().rposition(|b| *b == b'\n');
    let (json, checksum) = bytes.split_at(end.ok_or(LogEntryError::Checksum)?);
    if Digest::of(json).to_string().as_bytes() == &checksum[1..] {
        Ok(json)
    } else {
        Err(LogEntryError::Checksum)
    }
}
