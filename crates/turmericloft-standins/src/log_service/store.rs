//! In-memory storage of the streams of records.

use std::collections::{HashMap, VecDeque};

use turmericloft::sources::log_service::{LogRecord, RecordPage};

/// Streams of records with optionally limited retention.
#[derive(Debug, Default)]
pub struct LogStore {
    streams: HashMap<String, Stream>,
    retained_records: Option<usize>,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<LogRecord>,
}

impl LogStore {
    /// Limits each stream to this number of newest records; `None` removes the limit.
    pub fn set_retention(&mut self, records: Option<usize>) {
        self.retained_records = records;
        let limit = records.unwrap_or(usize::MAX);
        self.streams.values_mut().for_each(|s| s.trim(limit));
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, stream: &str, body: Vec<u8>, now_ms: u64) -> u64 {
        let limit = self.retained_records.unwrap_or(usize::MAX);
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next();
        stream.records.push_back(LogRecord {
            offset,
            appended_at_ms: now_ms,
            body,
        });
        stream.trim(limit);
        offset
    }

    /// Reads up to `limit` records from offset `from`. A stream without records gives an empty
    /// page.
    pub fn read(&self, stream: &str, from: u64, limit: usize) -> RecordPage {
        let Some(stream) = self.streams.get(stream) else {
            return RecordPage {
                first: 0,
                next: 0,
                records: Vec::new(),
            };
        };
        let skipped = from.saturating_sub(stream.first) as usize;
        let records = stream
            .records
            .iter()
            .skip(skipped)
            .take(limit)
            .cloned()
            .collect();
        RecordPage {
            first: stream.first,
            next: stream.next(),
            records,
        }
    }
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self, limit: usize) {
        while self.records.len() > limit {
            self.records.pop_front();
            self.first += 1;
        }
    }
}
