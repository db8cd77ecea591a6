//! Reading of a stream from its first retained record to its end, page by page.

use std::time::Duration;

use super::read_page::{PageRequest, read_page};
use crate::sources::log_service::{LogError, LogService, RecordPage};

/// A reader with its position in a stream.
pub(super) struct StreamReader<'a> {
    log: &'a dyn LogService,
    stream: &'a str,
    /// Maximum number of records of a page.
    page_records: usize,
    from: u64,
}

impl<'a> StreamReader<'a> {
    pub(super) fn new(log: &'a dyn LogService, stream: &'a str, page_records: usize) -> Self {
        Self {
            log,
            stream,
            page_records,
            from: 0,
        }
    }

    /// Offset at which the next page begins.
    pub(super) fn position(&self) -> u64 {
        self.from
    }

    /// Reads the next page. It has no records at the end of the stream.
    pub(super) async fn next_page(&mut self) -> Result<RecordPage, LogError> {
        let req = PageRequest {
            stream: self.stream,
            from: self.from,
            limit: self.page_records,
            wait: Duration::ZERO,
        };
        let page = read_page(self.log, req).await?;
        if let Some(last) = page.records.last() {
            self.from = last.offset + 1;
        }
        Ok(page)
    }
}
