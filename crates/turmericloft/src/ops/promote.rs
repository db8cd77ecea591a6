//! Promotion of a document: first in the trial environment, then unchanged in production.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{PromoteError, PromotionOutcome, config_reader::ConfigReader};
use crate::{
    core::{
        Name,
        config::{AcceptedRecord, ConfigFollower, ConfigRecord, Recovery, Verdict},
        document::{Digest, check_document},
    },
    sources::log_service::{LogError, LogService},
};

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time that a read of the log may wait for a new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Seconds within which a running gateway appends the accepted document again after its record has
/// expired.
const REAPPEND_TIMEOUT_S: u64 = 10;

/// Document to promote, and its target environment and author.
#[derive(Clone, Debug)]
pub struct PromoteOptions {
    /// Environment to promote to.
    pub environment: Name,
    /// Operator who promotes the document.
    pub author: Name,
    /// Text of the document.
    pub document: String,
    /// Random part of the promotion id, drawn by the calling code. The version is put before it.
    pub promotion_id: String,
    /// Time to wait until the log decides the outcome of the promotion, for example after the
    /// response to the append was lost.
    pub settle_timeout: Duration,
    /// Highest version that any gateway may have. If the accepted document is no longer in the log,
    /// the document is promoted without a parent, with a version above this one. `None` fails with
    /// [`PromoteError::ParentExpired`] in that case.
    pub recover_above: Option<u64>,
}

/// Promotes a document in a trial environment. `now_ms` is the time of the promotion, in
/// milliseconds since the Unix epoch.
pub async fn trial(
    log: &dyn LogService,
    options: PromoteOptions,
    now_ms: u64,
) -> Result<PromotionOutcome, PromoteError> {
    append_promotion(log, options, now_ms).await
}

/// Promotes a document that was accepted in `trial_environment` with exactly the same bytes.
/// `now_ms` is the time of the promotion, in milliseconds since the Unix epoch.
pub async fn promote(
    log: &dyn LogService,
    options: PromoteOptions,
    trial_environment: &Name,
    now_ms: u64,
) -> Result<PromotionOutcome, PromoteError> {
    let digest = Digest::of(options.document.as_bytes());
    if !was_accepted(log, trial_environment, digest).await? {
        return Err(PromoteError::NotAcceptedInTrial {
            environment: trial_environment.clone(),
            digest,
        });
    }
    append_promotion(log, options, now_ms).await
}

/// Reads the outcome of an earlier promotion from the log. Never appends a record.
pub async fn settle(
    log: &dyn LogService,
    environment: &Name,
    promotion_id: &str,
) -> Result<PromotionOutcome, PromoteError> {
    let version = parse_version(promotion_id)?;
    let mut reader = ConfigReader::from_first(log, environment);
    reader.read_to_end(Duration::ZERO).await?;
    let undecided = || PromotionOutcome::Undecided {
        promotion_id: promotion_id.to_owned(),
    };
    Ok(find_outcome(&reader, promotion_id, version).unwrap_or_else(undecided))
}

/// Reads the text of the active document of an environment; `None` if no document was accepted.
pub async fn read_document(
    log: &dyn LogService,
    environment: &Name,
) -> Result<Option<String>, PromoteError> {
    let mut reader = ConfigReader::near_end(log, environment).await?;
    reader.read_to_end(Duration::ZERO).await?;
    let accepted = reader.follower().accepted();
    Ok(accepted.map(|a| a.record.document.clone()))
}

async fn append_promotion(
    log: &dyn LogService,
    options: PromoteOptions,
    now_ms: u64,
) -> Result<PromotionOutcome, PromoteError> {
    let report = check_document(&options.document);
    if !report.faults.is_empty() {
        return Err(PromoteError::Document(report.format_faults()));
    }
    let mut reader = ConfigReader::near_end(log, &options.environment).await?;
    reader.read_to_end(Duration::ZERO).await?;
    let settle_timeout = options.settle_timeout;
    let follower = reader.follower();
    let (record, bytes) = if follower.is_continuous() {
        let record = next_record(follower.accepted(), options, now_ms);
        let bytes = record.encode()?;
        (record, bytes)
    } else if let Some(version) = options.recover_above {
        recovery_record(follower, version, options, now_ms)?
    } else {
        return Err(PromoteError::ParentExpired {
            environment: options.environment,
            wait_s: REAPPEND_TIMEOUT_S,
        });
    };
    if record.parent == Some(record.digest) {
        return Ok(PromotionOutcome::Unchanged {
            version: record.version - 1,
            digest: record.digest,
        });
    }
    match log.append(reader.stream(), bytes).await {
        Err(e) if e.had_no_effect() => Err(e.into()),
        _ => Ok(wait_for_outcome(reader, &record, settle_timeout).await),
    }
}

/// Creates a record without a parent, with a version above all versions that are known from the log
/// or stated by the operator.
fn recovery_record(
    follower: &ConfigFollower,
    stated_version: u64,
    options: PromoteOptions,
    now_ms: u64,
) -> Result<(ConfigRecord, Vec<u8>), PromoteError> {
    let known = follower.version().max(stated_version);
    let mut record = next_record(None, options, now_ms);
    record.version = known + Recovery::VERSION_STEP;
    record.promotion_id = record
        .promotion_id
        .replacen('1', &record.version.to_string(), 1);
    let recovery = Recovery {
        evaluated_until: follower.read_from(),
        recovered: record,
    };
    let bytes = recovery.encode()?;
    Ok((recovery.recovered, bytes))
}

fn next_record(
    parent: Option<&AcceptedRecord>,
    options: PromoteOptions,
    now_ms: u64,
) -> ConfigRecord {
    let version = parent.map_or(0, |a| a.record.version) + 1;
    ConfigRecord {
        version,
        parent: parent.map(|a| a.record.digest),
        promotion_id: format!("{version}-{}", options.promotion_id),
        author: options.author,
        promoted_at_ms: now_ms,
        digest: Digest::of(options.document.as_bytes()),
        document: options.document,
    }
}

/// Reads the log until it decides whether the record is accepted, or until the timeout. The record
/// is never appended a second time.
async fn wait_for_outcome(
    mut reader: ConfigReader<'_>,
    record: &ConfigRecord,
    timeout: Duration,
) -> PromotionOutcome {
    let deadline = Instant::now() + timeout;
    loop {
        if reader.read_to_end(LONG_POLL_TIMEOUT).await.is_err() {
            sleep(RETRY_DELAY).await;
        }
        if let Some(outcome) = find_outcome(&reader, &record.promotion_id, record.version) {
            return outcome;
        }
        if Instant::now() >= deadline {
            return PromotionOutcome::Undecided {
                promotion_id: record.promotion_id.clone(),
            };
        }
    }
}

/// Returns the outcome of the promotion, or `None` if the records read so far do not decide it.
fn find_outcome(
    reader: &ConfigReader<'_>,
    promotion_id: &str,
    version: u64,
) -> Option<PromotionOutcome> {
    let (evaluated, follower) = (reader.evaluated(), reader.follower());
    let accepted = evaluated
        .iter()
        .filter(|j| matches!(j.verdict, Verdict::Accepted(_)))
        .filter_map(|j| j.promotion.as_ref());
    let accepted: Vec<_> = accepted.collect();
    if let Some(own) = accepted.iter().find(|p| p.promotion_id == promotion_id) {
        return Some(PromotionOutcome::Accepted {
            version: own.version,
            digest: own.digest,
        });
    }
    let current = follower.accepted().map(|a| a.record.summary());
    if let Some(own) = current.as_ref().filter(|p| p.promotion_id == promotion_id) {
        return Some(PromotionOutcome::Accepted {
            version: own.version,
            digest: own.digest,
        });
    }
    let winner = accepted.iter().find(|p| p.version == version).copied();
    let winner = winner.or(current.as_ref().filter(|p| p.version == version));
    if let Some(winner) = winner {
        return Some(PromotionOutcome::Rejected {
            winner: Some(winner.clone()),
            current: follower.version(),
        });
    }
    let is_rejected = evaluated.iter().any(|j| {
        let own = j.promotion.as_ref();
        own.is_some_and(|p| p.promotion_id == promotion_id)
    });
    is_rejected.then(|| PromotionOutcome::Rejected {
        winner: None,
        current: follower.version(),
    })
}

/// Returns whether a document with this digest was accepted in an environment, within the retention
/// of its log.
async fn was_accepted(
    log: &dyn LogService,
    environment: &Name,
    digest: Digest,
) -> Result<bool, LogError> {
    let mut reader = ConfigReader::from_first(log, environment);
    reader.read_to_end(Duration::ZERO).await?;
    let active = reader.follower().accepted();
    let is_active = active.is_some_and(|a| a.record.digest == digest);
    let was_active = reader.evaluated().iter().any(|j| match &j.verdict {
        Verdict::Accepted(a) => a.record.digest == digest,
        _ => false,
    });
    Ok(is_active || was_active)
}

fn parse_version(promotion_id: &str) -> Result<u64, PromoteError> {
    let version = promotion_id
        .split_once('-')
        .and_then(|(v, _)| v.parse().ok());
    version.ok_or_else(|| PromoteError::InvalidPromotionId(promotion_id.to_owned()))
}
