//! A log service that withholds records of one stream, or fails to read them.

use std::{collections::HashMap, time::Duration};

use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use tokio::time::sleep;
use turmericloft::sources::log_service::{LogError, LogRecord, LogService, RecordPage};

use super::world::LATENCY;

/// Streams in memory; reads of one of them may be faulty.
#[derive(Default)]
pub struct FaultyLog {
    streams: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    fault: Mutex<ReadFault>,
}

#[derive(Default)]
struct ReadFault {
    stream: String,
    /// Lowest offset at which reads are faulty.
    from: u64,
    /// Number of faulty reads that are left.
    reads_left: u64,
    /// Whether a faulty read fails; otherwise it returns no records.
    fails: bool,
    reads: u64,
}

impl FaultyLog {
    /// Makes the next `reads` reads of `stream` at offset `from` or above return no records.
    pub fn withhold(&self, stream: &str, from: u64, reads: u64) {
        *self.fault.lock() = ReadFault {
            stream: stream.to_owned(),
            from,
            reads_left: reads,
            ..ReadFault::default()
        };
    }

    /// Makes all reads of `stream` at offset `from` or above fail.
    pub fn fail_reads(&self, stream: &str, from: u64) {
        self.withhold(stream, from, u64::MAX);
        self.fault.lock().fails = true;
    }

    /// Number of reads that were faulty.
    pub fn faulty_reads(&self) -> u64 {
        self.fault.lock().reads
    }

    /// Appends records.
    pub fn extend(&self, stream: &str, bodies: impl IntoIterator<Item = Vec<u8>>) {
        let mut streams = self.streams.lock();
        let records = streams.entry(stream.to_owned()).or_default();
        records.extend(bodies);
    }

    /// Whether a faulty read fails; `None` if this read is not faulty.
    fn take_read_fault(&self, stream: &str, from: u64) -> Option<bool> {
        let mut fault = self.fault.lock();
        let within = from != u64::MAX && from >= fault.from;
        if fault.stream != stream || !within || fault.reads_left == 0 {
            return None;
        }
        fault.reads_left -= 1;
        fault.reads += 1;
        Some(fault.fails)
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

impl LogService for FaultyLog {
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
            match self.take_read_fault(stream, from) {
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
