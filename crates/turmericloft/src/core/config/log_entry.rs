//! Encoding of the records of a configuration stream.
//!
//! A record is JSON followed by a line with the SHA-256 of that JSON, so that a record in which any
//! byte has changed is detected and skipped.

use serde::Serialize;
use thiserror::Error;

use super::{Checkpoint, ConfigRecord, Recovery};
use crate::core::document::Digest;

/// A decoded record of a configuration stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEntry {
    /// An operator's promotion.
    Promotion(Box<ConfigRecord>),
    /// A gateway's checkpoint.
    Checkpoint(Box<Checkpoint>),
    /// An operator's promotion that needs no parent.
    Recovery(Box<Recovery>),
}

/// Why a [`LogEntry`] cannot be decoded or encoded.
#[derive(Debug, Error)]
pub enum LogEntryError {
    /// The record exceeds [`LogEntry::MAX_BYTES`].
    #[error("the record has {found} bytes; at most {limit} are allowed", limit = LogEntry::MAX_BYTES)]
    TooLarge {
        /// Size of the record, in bytes.
        found: usize,
    },
    /// The record is corrupted or truncated.
    #[error("the checksum does not match the record")]
    ChecksumMismatch,
    /// The JSON is neither a promotion, nor a checkpoint, nor a recovery.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The document does not have the digest that the record names.
    #[error("the digest does not match the document")]
    DigestMismatch,
}

impl LogEntry {
    /// Maximum size of an encoded entry, in bytes.
    pub const MAX_BYTES: usize = 8 << 20;

    /// Decodes an entry; verifies the record's checksum and the document's digest.
    pub fn decode(bytes: &[u8]) -> Result<Self, LogEntryError> {
        if bytes.len() > Self::MAX_BYTES {
            return Err(LogEntryError::TooLarge { found: bytes.len() });
        }
        let json = verify_checksum(bytes)?;
        let entry = Self::parse(json)?;
        let record = entry.record();
        if Digest::of(record.document.as_bytes()) != record.digest {
            return Err(LogEntryError::DigestMismatch);
        }
        Ok(entry)
    }

    /// Parses the JSON as the first entry type that matches. If none does, the error is that of a
    /// promotion.
    fn parse(json: &[u8]) -> Result<Self, serde_json::Error> {
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
    /// Encodes the promotion for the log.
    pub fn encode(&self) -> Result<Vec<u8>, LogEntryError> {
        encode(self)
    }
}

impl Recovery {
    /// Encodes the recovery for the log.
    pub fn encode(&self) -> Result<Vec<u8>, LogEntryError> {
        encode(self)
    }
}

impl Checkpoint {
    /// Encodes the checkpoint for the log or for a peer.
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

fn verify_checksum(bytes: &[u8]) -> Result<&[u8], LogEntryError> {
    let end = bytes.iter().rposition(|b| *b == b'\n');
    let (json, checksum) = bytes.split_at(end.ok_or(LogEntryError::ChecksumMismatch)?);
    if Digest::of(json).to_string().as_bytes() == &checksum[1..] {
        Ok(json)
    } else {
        Err(LogEntryError::ChecksumMismatch)
    }
}
