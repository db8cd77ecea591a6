//! What the system needs of a log service.

use std::time::Duration;

use futures_util::future::BoxFuture;

use super::{LogError, RecordPage};

/// An append-only log with offsets. Tests put small fakes in its place.
pub trait LogService: Send + Sync {
    /// Appends a record and gives its offset.
    fn append<'a>(&'a self, stream: &'a str, body: Vec<u8>)
    -> BoxFuture<'a, Result<u64, LogError>>;

    /// Reads up to `limit` records from offset `from` on, waiting up to `wait` for the first.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<RecordPage, LogError>>;
}
