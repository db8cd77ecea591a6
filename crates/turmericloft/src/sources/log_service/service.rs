//! Interface of the log service.

use std::time::Duration;

use futures_util::future::BoxFuture;

use super::{LogError, RecordPage};

/// An append-only log of named streams. Tests replace it with an implementation in memory.
pub trait LogService: Send + Sync {
    /// Appends a record and returns its offset.
    fn append<'a>(&'a self, stream: &'a str, body: Vec<u8>)
    -> BoxFuture<'a, Result<u64, LogError>>;

    /// Reads up to `limit` records from offset `from` on; waits up to `wait` if there is none yet.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<RecordPage, LogError>>;
}
