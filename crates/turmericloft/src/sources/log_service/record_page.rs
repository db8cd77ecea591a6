//! Response bodies of the log service.

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::core::config::{OffsetRecord, Page};

/// A record of a stream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset in the stream; consecutive records have consecutive offsets.
    pub offset: u64,
    /// Time of the append, in milliseconds since the Unix epoch, by the log service's clock.
    pub appended_at_ms: u64,
    /// Appended bytes; Base64 in JSON.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// Lowest offset within the retention of the stream.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Records from the requested offset on, or from `first` if that is higher.
    pub records: Vec<LogRecord>,
}

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
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
    /// Whether the stream has records from offset `from` on but the page contains none of them.
    pub fn lacks_records_from(&self, from: u64) -> bool {
        let has_records = self.records.iter().any(|r| r.offset >= from);
        !has_records && self.next > from.max(self.first)
    }

    /// Borrows the page in the form that the follower of the configuration reads.
    pub fn as_page(&self) -> Page<'_, LogRecord> {
        Page {
            first: self.first,
            next: self.next,
            records: &self.records,
        }
    }
}
