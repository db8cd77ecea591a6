//! Messages of the log service.

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::core::config::{OffsetRecord, Page};

/// A record as the log service keeps it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Place in the stream; grows by one.
    pub offset: u64,
    /// Time of the append, in milliseconds since the Unix epoch, by the log service's clock.
    pub appended_at_ms: u64,
    /// The bytes appended.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// Part of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// Lowest offset still kept.
    pub first: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records from the offset asked for, or from `first` if that is higher.
    pub records: Vec<LogRecord>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReceipt {
    /// Offset of the new record.
    pub offset: u64,
}

impl OffsetRecord for LogRecord {
    fn offset(&self) -> u64 {
        self.offset
    }

    fn body(&self) -> &[u8] {
        &self.body
    }
}

impl RecordPage {
    /// Whether the stream has records from offset `from` on and the page gives none of them.
    pub fn withholds(&self, from: u64) -> bool {
        let gives = self.records.iter().any(|r| r.offset >= from);
        !gives && self.next > from.max(self.first)
    }

    /// The page as a follower takes it.
    pub fn as_page(&self) -> Page<'_, LogRecord> {
        Page {
            first: self.first,
            next: self.next,
            records: &self.records,
        }
    }
}
