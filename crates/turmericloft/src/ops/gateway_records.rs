//! Reading what gateways wrote about themselves.

use std::time::Duration;

use super::read_page::{PageRequest, read_page};
use crate::{
    core::{Name, config::GatewayRecord},
    sources::log_service::{LogError, LogRecord, LogService},
};

/// Records read at once.
const PAGE_RECORDS: usize = 1_000;

/// A gateway's record with the time of its append, by the log service's clock.
pub(super) struct WrittenRecord {
    pub(super) record: GatewayRecord,
    pub(super) appended_at_ms: u64,
}

/// All records of an environment's gateways that the log keeps, oldest first. Ones that cannot
/// be read are left out.
pub(super) async fn read_gateway_records(
    log: &dyn LogService,
    environment: &Name,
) -> Result<Vec<WrittenRecord>, LogError> {
    let stream = GatewayRecord::stream(environment);
    let mut records = Vec::new();
    let mut from = 0;
    loop {
        let req = PageRequest {
            stream: &stream,
            from,
            limit: PAGE_RECORDS,
            wait: Duration::ZERO,
        };
        let page = read_page(log, req).await?;
        let Some(last) = page.records.last() else {
            return Ok(records);
        };
        from = last.offset + 1;
        records.extend(page.records.iter().filter_map(read_record));
    }
}

fn read_record(record: &LogRecord) -> Option<WrittenRecord> {
    Some(WrittenRecord {
        record: serde_json::from_slice(&record.body).ok()?,
        appended_at_ms: record.appended_at_ms,
    })
}
