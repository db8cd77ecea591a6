//! Log service client that counts the bytes of its calls.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use turmericloft::sources::log_service::{HttpLog, LogError, LogService, RecordPage};

/// Bytes of one call without its bodies: heads of request and response, and the TCP and IP headers
/// of all packets of a connection that carries a single call.
const CALL_OVERHEAD_BYTES: u64 = 700;
/// Bytes of a record in a page without its body.
const RECORD_OVERHEAD_BYTES: u64 = 80;

/// Wraps an [`HttpLog`], estimates the bytes it transfers and stores the start of the last append.
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

    /// Estimated bytes sent and received since creation, TCP and IP headers included.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Start of the last append, or the time of creation if there was none.
    pub fn append_started_at(&self) -> Instant {
        *self.append_started_at.lock()
    }

    fn count_call(&self, body: u64) {
        // A large body is split into packets; their headers add about one byte to 30 of the body.
        let packet_headers = body / 30;
        self.bytes.fetch_add(
            CALL_OVERHEAD_BYTES + body + packet_headers,
            Ordering::Relaxed,
        );
    }
}

impl LogService for CountingLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Result<u64, LogError>> {
        self.count_call(body.len() as u64);
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
            let encoded = |bytes: usize| bytes as u64 * 4 / 3 + RECORD_OVERHEAD_BYTES;
            let records = page.iter().flat_map(|p| &p.records);
            self.count_call(records.map(|r| encoded(r.body.len())).sum());
            page
        })
    }
}
