//! The rule that accepts configuration records. Every reader of the log decides alike.

use super::ConfigRecord;
use crate::core::document::{Digest, Document};

/// The newest accepted record.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Offset of the record in the log service.
    pub offset: u64,
    /// The record.
    pub record: ConfigRecord,
    /// Its document, parsed.
    pub document: Document,
}

/// What became of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is now the accepted one.
    Accepted(Box<Accepted>),
    /// The same promotion was accepted before; nothing changes.
    Repeated,
    /// Another record was accepted on the same parent first.
    Lost {
        /// Version in force when this record was read.
        current: u64,
    },
    /// The bytes don't make a valid record.
    Malformed(String),
}

impl Accepted {
    /// Judges the record read at `offset`, with `current` in force.
    pub fn judge(current: Option<&Self>, offset: u64, bytes: &[u8]) -> Verdict {
        let record: ConfigRecord = match serde_json::from_slice(bytes) {
            Ok(record) => record,
            Err(e) => return Verdict::Malformed(e.to_string()),
        };
        if Digest::of(record.document.as_bytes()) != record.digest {
            return Verdict::Malformed("the digest does not fit the document".to_owned());
        }
        let version = current.map_or(0, |a| a.record.version);
        if current.is_some_and(|a| a.record.promotion_id == record.promotion_id) {
            return Verdict::Repeated;
        }
        let parent = current.map(|a| a.record.digest);
        if record.parent != parent || record.version != version + 1 {
            return Verdict::Lost { current: version };
        }
        match Document::parse(&record.document) {
            Ok(document) => Verdict::Accepted(Box::new(Self {
                offset,
                record,
                document,
            })),
            Err(e) => Verdict::Malformed(e.to_string()),
        }
    }
}
