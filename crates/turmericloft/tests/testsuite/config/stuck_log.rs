//! A log service that holds records of one stream back, or fails.

use std::{collections::HashMap, time::Duration};

use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use tokio::time::sleep;
use turmericloft::sources::log_service::{LogError, LogRecord, LogService, RecordPage};

use super::world::LATENCY;

/// Streams in memory, of which one may be withheld.
#[derive(Default)]
pub struct StuckLog {
    streams: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    stuck: Mutex<Stuck>,
}

#[derive(Default)]
struct Stuck {
    stream: String,
    /// Offset from which on nothing is given.
    from: u64,
    /// Reads for which this lasts.
    reads_left: u64,
    /// Whether such a read fails.
    fails: bool,
    reads: u64,
}

impl StuckLog {
    /// The next `reads` reads of `stream` from `from` on give no records, although it has some.
    pub fn withhold(&self, stream: &str, from: u64, reads: u64) {
        *self.stuck.lock() = Stuck {
            stream: stream.to_owned(),
            from,
            reads_left: reads,
            ..Stuck::default()
        };
    }

    /// Reads of `stream` from `from` on fail.
    pub fn fail(&self, stream: &str, from: u64) {
        self.withhold(stream, from, u64::MAX);
        self.stuck.lock().fails = true;
    }

    /// Reads that were stuck.
    pub fn stuck_reads(&self) -> u64 {
        self.stuck.lock().reads
    }

    /// Appends records.
    pub fn extend(&self, stream: &str, bodies: impl IntoIterator<Item = Vec<u8>>) {
        let mut streams = self.streams.lock();
        let records = streams.entry(stream.to_owned()).or_default();
        records.extend(bodies);
    }

    /// Whether this read is stuck; `None` if it is not, else whether it fails.
    fn is_stuck(&self, stream: &str, from: u64) -> Option<bool> {
        let mut stuck = self.stuck.lock();
        let within = from != u64::MAX && from >= stuck.from;
        if stuck.stream != stream || !within || stuck.reads_left == 0 {
            return None;
        }
        stuck.reads_left -= 1;
        stuck.reads += 1;
        Some(stuck.fails)
    }

    fn page(&self, stream: &str, from: u64, limit: usize) -> RecordPage {
        let streams = self.streams.lock();
        let bodies = streams.get(stream).map(Vec::as_slice).unwrap_or_default();
        let kept = bodies.iter().zip(0..).skip(from as usize).take(limit);
        let records = kept.map(|(body, offset)| LogRecord {
            offset,
            appended_at_ms: offset,
            body: body.clone(),
        });
        RecordPage {
            first: 0,
            next: bodies.len() as u64,
            records: records.collect(),
        }
    }
}

impl LogService for StuckLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Result<u64, LogError>> {
        Box::pin(async move {
            self.extend(stream, [body]);
            Ok(self.page(stream, 0, 0).next - 1)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<RecordPage, LogError>> {
        Box::pin(async move {
            sleep(LATENCY).await;
            let mut page = self.page(stream, from, limit);
            match self.is_stuck(stream, from) {
                Some(true) => {
                    return Err(LogError::Rejected {
                        reason: "down".to_owned(),
                        source: None,
                    });
                }
                Some(false) => page.records.clear(),
                None if page.records.is_empty() => sleep(wait).await,
                None => {}
            }
            Ok(page)
        })
    }
}
