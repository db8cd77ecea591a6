//! Publishing a document.

use std::time::Duration;

use thiserror::Error;

use crate::{
    core::{
        Name,
        config::{Accepted, ConfigRecord, Verdict},
        document::{Digest, Document, DocumentError},
    },
    sources::log_service::{LogError, LogService},
};

/// Records read from the log service at once.
const PAGE_RECORDS: usize = 64;

/// What to promote, where, and as whom.
#[derive(Clone, Debug)]
pub struct PromoteOptions {
    /// Environment.
    pub environment: Name,
    /// The operator.
    pub author: Name,
    /// The document's text.
    pub document: String,
    /// Drawn at random by the caller.
    pub promotion_id: String,
}

/// Why a promotion did not succeed.
#[derive(Debug, Error)]
pub enum PromoteError {
    /// The document is not valid.
    #[error("the document is not valid")]
    Document(#[from] DocumentError),
    /// The log service could not be read or written.
    #[error("the log service failed")]
    Log(#[from] LogError),
    /// The record cannot be written down.
    #[error("the record cannot be encoded")]
    Encode(#[from] serde_json::Error),
}

/// Promotes a document and gives its version.
pub async fn promote(
    log: &dyn LogService,
    options: PromoteOptions,
    now_ms: u64,
) -> Result<u64, PromoteError> {
    Document::parse(&options.document)?;
    let stream = ConfigRecord::stream(&options.environment);
    let current = read_accepted(log, &stream).await?;
    let record = ConfigRecord {
        version: current.as_ref().map_or(0, |a| a.record.version) + 1,
        parent: current.map(|a| a.record.digest),
        promotion_id: options.promotion_id,
        author: options.author,
        promoted_at_ms: now_ms,
        digest: Digest::of(options.document.as_bytes()),
        document: options.document,
    };
    log.append(&stream, serde_json::to_vec(&record)?).await?;
    Ok(record.version)
}

/// Reads a stream of records to its end and gives the accepted one.
async fn read_accepted(log: &dyn LogService, stream: &str) -> Result<Option<Accepted>, LogError> {
    let mut accepted = None;
    let mut from = 0;
    loop {
        let page = log.read(stream, from, PAGE_RECORDS, Duration::ZERO).await?;
        let Some(last) = page.records.last() else {
            return Ok(accepted);
        };
        from = last.offset + 1;
        for record in &page.records {
            let verdict = Accepted::judge(accepted.as_ref(), record.offset, &record.body);
            if let Verdict::Accepted(new) = verdict {
                accepted = Some(*new);
            }
        }
    }
}
