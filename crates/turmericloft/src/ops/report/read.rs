//! Reading the records of all gateways.

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
    ops::{
        PromoteError, read_document,
        read_page::{PageRequest, read_page},
    },
    sources::log_service::{LogError, LogService},
};

/// Records read from the log service at once.
const PAGE_RECORDS: usize = 256;

/// What to report on.
#[derive(Clone, Debug)]
pub struct ReportOptions {
    /// Environment.
    pub environment: Name,
    /// What lines stand for.
    pub by: GroupBy,
    /// Time before now that is reported on; all that is kept if `None`.
    pub period: Option<Duration>,
}

/// Why no report could be made.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The log service could not be read.
    #[error("the log service failed")]
    Log(#[from] LogError),
    /// The document in force could not be read.
    #[error("the document in force cannot be read")]
    ReadDocument(#[from] PromoteError),
    /// The document in force is not valid.
    #[error("the document in force is not valid")]
    Document(#[from] DocumentError),
    /// The report cannot be written in the format asked for.
    #[error("the report cannot be written as {format}")]
    Render {
        /// The format.
        format: &'static str,
        /// Cause.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// Reads all records and makes a report of a period that ends now.
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

/// Weights of the document in force; all are 1 without one.
async fn read_weights(
    log: &dyn LogService,
    environment: &Name,
) -> Result<KindWeights, ReportError> {
    let Some(text) = read_document(log, environment).await? else {
        return Ok(KindWeights::default());
    };
    Ok(KindWeights::from_document(&Document::parse(&text)?))
}

/// Reads all records that the log service still keeps.
pub async fn read_history(
    log: &dyn LogService,
    environment: &Name,
    now_ms: u64,
) -> Result<History, ReportError> {
    let stream = RoundPart::stream(environment);
    let mut history = History::default();
    let mut from = 0;
    loop {
        let req = PageRequest {
            stream: &stream,
            from,
            limit: PAGE_RECORDS,
            wait: Duration::ZERO,
        };
        let page = read_page(log, req).await?;
        if page.first > from {
            let kept_from_ms = page.records.first().map_or(now_ms, |r| r.appended_at_ms);
            history.record_retention_start(kept_from_ms);
        }
        let Some(last) = page.records.last() else {
            return Ok(history);
        };
        from = last.offset + 1;
        for record in &page.records {
            history.add_record(&record.body, record.appended_at_ms);
        }
    }
}
