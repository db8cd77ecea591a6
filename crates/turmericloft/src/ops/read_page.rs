//! Reading of one page of a stream, with retries.

use std::time::Duration;

use tokio::time::sleep;

use crate::sources::log_service::{LogError, LogService, RecordPage};

/// Maximum number of attempts of a page that lacks its records.
const MAX_ATTEMPTS: u32 = 5;
/// Delay before such a read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Part of a stream to read.
#[derive(Clone, Copy, Debug)]
pub(super) struct PageRequest<'a> {
    /// Name of the stream.
    pub(super) stream: &'a str,
    /// Offset of the first record to return.
    pub(super) from: u64,
    /// Maximum number of records.
    pub(super) limit: usize,
    /// Maximum time that the log service waits for the first record.
    pub(super) wait: Duration,
}

/// Reads a page. It is empty only at the end of the stream and contains no records below the
/// requested offset, so that a caller that continues after the last record always terminates.
pub(super) async fn read_page(
    log: &dyn LogService,
    req: PageRequest<'_>,
) -> Result<RecordPage, LogError> {
    let mut attempts = 0;
    loop {
        let page = log.read(req.stream, req.from, req.limit, req.wait);
        let mut page = page.await?;
        attempts += 1;
        if !page.lacks_records_from(req.from) {
            page.records.retain(|r| r.offset >= req.from);
            return Ok(page);
        }
        if attempts == MAX_ATTEMPTS {
            return Err(LogError::MissingRecords {
                stream: req.stream.to_owned(),
                from: req.from,
                last: page.next - 1,
            });
        }
        sleep(RETRY_DELAY).await;
    }
}
