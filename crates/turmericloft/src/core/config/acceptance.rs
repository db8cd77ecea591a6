//! The rule that accepts configuration records. Every reader of the log decides alike.

use super::{Checkpoint, ConfigRecord, LogEntry, LogEntryError};
use crate::core::document::{Document, DocumentError};

/// The newest accepted record.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedRecord {
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
    Accepted(Box<AcceptedRecord>),
    /// The same promotion was accepted before; nothing changes.
    Duplicate,
    /// Another record was accepted on the same parent first.
    Rejected {
        /// Version in force when this record was read.
        current: u64,
    },
    /// A gateway's checkpoint; nothing changes for a reader that judged all records before it.
    Checkpoint(Box<Checkpoint>),
    /// The bytes don't make a valid record.
    Malformed(String),
}

impl AcceptedRecord {
    /// Judges the record read at `offset`, with `current` in force.
    pub fn evaluate(current: Option<&Self>, offset: u64, bytes: &[u8]) -> Verdict {
        Self::evaluate_entry(current, offset, LogEntry::decode(bytes))
    }

    /// Judges an entry that was decoded, or that could not be.
    pub fn evaluate_entry(
        current: Option<&Self>,
        offset: u64,
        entry: Result<LogEntry, LogEntryError>,
    ) -> Verdict {
        match entry {
            Ok(LogEntry::Promotion(record)) => Self::evaluate_promotion(current, offset, *record),
            Ok(LogEntry::Checkpoint(checkpoint)) => Verdict::Checkpoint(checkpoint),
            Ok(LogEntry::Recovery(recovery)) => {
                Self::evaluate_recovery(current, offset, recovery.recovered)
            }
            Err(e) => Verdict::Malformed(e.to_string()),
        }
    }

    fn evaluate_promotion(current: Option<&Self>, offset: u64, record: ConfigRecord) -> Verdict {
        let version = current.map_or(0, |a| a.record.version);
        if current.is_some_and(|a| a.record.promotion_id == record.promotion_id) {
            return Verdict::Duplicate;
        }
        let parent = current.map(|a| a.record.digest);
        if record.parent != parent || Some(record.version) != version.checked_add(1) {
            return Verdict::Rejected { current: version };
        }
        Self::accept(offset, record)
    }

    fn evaluate_recovery(current: Option<&Self>, offset: u64, record: ConfigRecord) -> Verdict {
        let version = current.map_or(0, |a| a.record.version);
        if current.is_some_and(|a| a.record.promotion_id == record.promotion_id) {
            return Verdict::Duplicate;
        }
        if record.parent.is_some() || record.version <= version {
            return Verdict::Rejected { current: version };
        }
        Self::accept(offset, record)
    }

    fn accept(offset: u64, record: ConfigRecord) -> Verdict {
        match Self::read(offset, record) {
            Ok(accepted) => Verdict::Accepted(Box::new(accepted)),
            Err(e) => Verdict::Malformed(e.to_string()),
        }
    }

    /// Parses the document of a record that is known to be accepted.
    pub(super) fn read(offset: u64, record: ConfigRecord) -> Result<Self, DocumentError> {
        let document = Document::parse(&record.document)?;
        Ok(Self {
            offset,
            record,
            document,
        })
    }
}
