//! A log service client that counts what it costs.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use turmericloft::sources::log_service::{HttpLog, LogError, LogService, RecordPage};

/// Bytes of one call besides its bodies: heads of request and answer, and the TCP and IP headers
/// of the packets of a connection that carries one call.
const CALL_BYTES: u64 = 700;
/// Bytes of a record in a page besides its body.
const RECORD_BYTES: u64 = 80;

/// Counts bytes and notes the time of the last append.
pub struct CountingLog {
    inner: HttpLog,
    bytes: AtomicU64,
    append_started_at: Mutex<Instant>,
}

impl CountingLog {
    pub fn new(inner: HttpLog) -> Self {
        Self {
            inner,
            bytes: AtomicU64::new(0),
            append_started_at: Mutex::new(Instant::now()),
        }
    }

    /// Bytes sent and received so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// When the last append began.
    pub fn append_started_at(&self) -> Instant {
        *self.append_started_at.lock()
    }

    fn count(&self, body: u64) {
        // Large bodies are cut into packets with a header of their own.
        let packets = body / 30;
        self.bytes
            .fetch_add(CALL_BYTES + body + packets, Ordering::Relaxed);
    }
}

impl LogService for CountingLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Result<u64, LogError>> {
        self.count(body.len() as u64);
        *self.append_started_at.lock() = Instant::now();
        self.inner.append(stream, body)
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<RecordPage, LogError>> {
        Box::pin(async move {
            let page = self.inner.read(stream, from, limit, wait).await;
            let base64 = |bytes: usize| bytes as u64 * 4 / 3 + RECORD_BYTES;
            let records = page.iter().flat_map(|p| &p.records);
            self.count(records.map(|r| base64(r.body.len())).sum());
            page
        })
    }
}
