//! Reading one page of a stream.

use std::time::Duration;

use tokio::time::sleep;

use crate::sources::log_service::{LogError, LogService, RecordPage};

/// Reads of a page whose records are withheld before this is an error.
const MAX_READS: u32 = 5;
/// Pause after such a read.
const PAUSE: Duration = Duration::from_millis(100);

/// Which part of a stream to read.
#[derive(Clone, Copy, Debug)]
pub(super) struct PageRequest<'a> {
    pub(super) stream: &'a str,
    /// Offset of the first record wanted.
    pub(super) from: u64,
    /// Most records in the page.
    pub(super) limit: usize,
    /// Time to wait for the first record.
    pub(super) wait: Duration,
}

/// Reads a page. It has no records only at the end of the stream, and none below the offset asked
/// for: a reader that goes on after the last one comes to an end.
pub(super) async fn read_page(
    log: &dyn LogService,
    req: PageRequest<'_>,
) -> Result<RecordPage, LogError> {
    let mut reads = 0;
    loop {
        let page = log.read(req.stream, req.from, req.limit, req.wait);
        let mut page = page.await?;
        reads += 1;
        if !page.withholds(req.from) {
            page.records.retain(|r| r.offset >= req.from);
            return Ok(page);
        }
        if reads == MAX_READS {
            return Err(LogError::Withheld {
                stream: req.stream.to_owned(),
                from: req.from,
                last: page.next - 1,
            });
        }
        sleep(PAUSE).await;
    }
}
