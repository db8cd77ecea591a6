//! Reading of the count records of all gateways.

use std::time::Duration;

use thiserror::Error;

use crate::{
    core::{
        Name,
        counting::{
            RoundPart,
            report::{GroupBy, History, KindWeights, Period, Report},
        },
        document::{Document, DocumentError},
    },
    ops::{PromoteError, read_document, stream_reader::StreamReader},
    sources::log_service::{LogError, LogService},
};

/// Maximum number of records per read from the log service.
const PAGE_RECORDS: usize = 256;

/// Scope of a report.
#[derive(Clone, Debug)]
pub struct ReportOptions {
    /// Environment whose gateways are reported on.
    pub environment: Name,
    /// Grouping key of the lines.
    pub by: GroupBy,
    /// Length of the reported period, which ends now; `None` covers all records in the log.
    pub period: Option<Duration>,
}

/// Error while reading or rendering a report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A read from the log service failed.
    #[error("the log service failed")]
    Log(#[from] LogError),
    /// The active document cannot be read from the log service.
    #[error("cannot read the active document")]
    ReadDocument(#[from] PromoteError),
    /// The active document is not valid.
    #[error("the active document is not valid")]
    Document(#[from] DocumentError),
    /// The report cannot be encoded in the requested format.
    #[error("cannot render the report as {format}")]
    Render {
        /// Name of the format.
        format: &'static str,
        /// Error of the encoder.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// Reads all count records of an environment and builds the report of a period that ends at
/// `now_ms`, in milliseconds since the Unix epoch.
pub async fn read_report(
    log: &dyn LogService,
    options: &ReportOptions,
    now_ms: u64,
) -> Result<Report, ReportError> {
    let weights = read_weights(log, &options.environment).await?;
    let history = read_history(log, &options.environment, now_ms).await?;
    let period_ms = options.period.map(|p| p.as_millis() as u64);
    let period = Period {
        from_ms: period_ms.map_or(0, |ms| now_ms.saturating_sub(ms)),
        to_ms: now_ms,
    };
    Ok(Report::build(
        &history,
        &options.environment,
        options.by,
        period,
        &weights,
    ))
}

/// Reads the weights of the active document; without one, all weights are 1.
async fn read_weights(
    log: &dyn LogService,
    environment: &Name,
) -> Result<KindWeights, ReportError> {
    let Some(text) = read_document(log, environment).await? else {
        return Ok(KindWeights::default());
    };
    Ok(KindWeights::from_document(&Document::parse(&text)?))
}

/// Reads all count records within the retention of the log service. `now_ms` is the start of
/// retention if the log keeps no records.
pub async fn read_history(
    log: &dyn LogService,
    environment: &Name,
    now_ms: u64,
) -> Result<History, ReportError> {
    let stream = RoundPart::stream(environment);
    let mut reader = StreamReader::new(log, &stream, PAGE_RECORDS);
    let mut history = History::default();
    loop {
        let from = reader.position();
        let page = reader.next_page().await?;
        if page.first > from {
            let kept_from_ms = page.records.first().map_or(now_ms, |r| r.appended_at_ms);
            history.record_retention_start(kept_from_ms);
        }
        if page.records.is_empty() {
            return Ok(history);
        }
        for record in &page.records {
            history.add_record(&record.body, record.appended_at_ms);
        }
    }
}
