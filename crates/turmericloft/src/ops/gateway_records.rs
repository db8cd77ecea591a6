//! Reading of the state records that gateways append to the log.

use super::stream_reader::StreamReader;
use crate::{
    core::{Name, config::GatewayRecord},
    sources::log_service::{LogError, LogRecord, LogService},
};

/// Maximum number of records per page.
const PAGE_RECORDS: usize = 1_000;

/// A record of a gateway with the time of its append, in milliseconds since the Unix epoch by the
/// clock of the log service.
pub(super) struct AppendedRecord {
    pub(super) record: GatewayRecord,
    pub(super) appended_at_ms: u64,
}

/// Reads the records of all gateways of an environment within the retention of the log, oldest
/// first. Records that cannot be decoded are skipped.
pub(super) async fn read_gateway_records(
    log: &dyn LogService,
    environment: &Name,
) -> Result<Vec<AppendedRecord>, LogError> {
    let stream = GatewayRecord::stream(environment);
    let mut reader = StreamReader::new(log, &stream, PAGE_RECORDS);
    let mut records = Vec::new();
    loop {
        let page = reader.next_page().await?;
        if page.records.is_empty() {
            return Ok(records);
        }
        records.extend(page.records.iter().filter_map(decode_record));
    }
}

fn decode_record(record: &LogRecord) -> Option<AppendedRecord> {
    Some(AppendedRecord {
        record: serde_json::from_slice(&record.body).ok()?,
        appended_at_ms: record.appended_at_ms,
    })
}
