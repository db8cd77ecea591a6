//! The rule that accepts configuration records.
//!
//! The result depends only on the record and the accepted record before it, so all readers of the
//! log reach the same verdict.

use super::{Checkpoint, ConfigRecord, LogEntry, LogEntryError};
use crate::core::document::{Document, DocumentError};

/// The newest accepted record of a configuration stream.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedRecord {
    /// Offset of the record in the stream.
    pub offset: u64,
    /// The record as it was read from the log.
    pub record: ConfigRecord,
    /// The parsed document of the record.
    pub document: Document,
}

/// The result of evaluating a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The record is now the accepted one.
    Accepted(Box<AcceptedRecord>),
    /// The accepted record holds the same promotion; nothing changes.
    Duplicate,
    /// The record does not continue the accepted one, for example because another record with the
    /// same parent was accepted first.
    Rejected {
        /// Accepted version when this record was read; zero if there was none.
        current: u64,
    },
    /// A gateway's checkpoint; it changes nothing for a reader that has evaluated all records
    /// before it.
    Checkpoint(Box<Checkpoint>),
    /// The bytes are not a valid record; holds the reason.
    Malformed(String),
}

impl AcceptedRecord {
    /// Evaluates the record read at `offset`, where `current` is the accepted record before it.
    pub fn evaluate(current: Option<&Self>, offset: u64, bytes: &[u8]) -> Verdict {
        Self::evaluate_entry(current, offset, LogEntry::decode(bytes))
    }

    /// Evaluates the result of decoding the record at `offset`.
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
        match Self::parse(offset, record) {
            Ok(accepted) => Verdict::Accepted(Box::new(accepted)),
            Err(e) => Verdict::Malformed(e.to_string()),
        }
    }

    /// Parses the document of a record that is known to be accepted.
    ///
    /// Does not check the record against the one accepted before it.
    pub(super) fn parse(offset: u64, record: ConfigRecord) -> Result<Self, DocumentError> {
        let document = Document::parse(&record.document)?;
        Ok(Self {
            offset,
            record,
            document,
        })
    }
}
