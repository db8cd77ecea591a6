//! Putting a document in force: in the trial environment, and then unchanged in production.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{PromoteError, Promotion, config_reader::ConfigReader};
use crate::{
    core::{
        Name,
        config::{AcceptedRecord, ConfigFollower, ConfigRecord, Recovery, Verdict},
        document::{Digest, check_document},
    },
    sources::log_service::{LogError, LogService},
};

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time that a read may wait for a record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Seconds after which a gateway has appended an expired document again.
const BASE_WAIT_S: u64 = 10;

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
    /// Time for a promotion whose answer was lost to be found in the log.
    pub settle_within: Duration,
    /// If the accepted document is no longer in the log: the highest version that any gateway may
    /// have. The document then starts anew above it.
    pub recover_above: Option<u64>,
}

/// Puts a document in force in an environment in which documents are tried.
pub async fn trial(
    log: &dyn LogService,
    options: PromoteOptions,
    now_ms: u64,
) -> Result<Promotion, PromoteError> {
    publish(log, options, now_ms).await
}

/// Puts a document in force that was in force, with exactly these bytes, in `trial_environment`.
pub async fn promote(
    log: &dyn LogService,
    options: PromoteOptions,
    trial_environment: &Name,
    now_ms: u64,
) -> Result<Promotion, PromoteError> {
    let digest = Digest::of(options.document.as_bytes());
    if !was_accepted(log, trial_environment, digest).await? {
        return Err(PromoteError::NotTried {
            environment: trial_environment.clone(),
            digest,
        });
    }
    publish(log, options, now_ms).await
}

/// Finds out how an earlier promotion ended. Never writes.
pub async fn settle(
    log: &dyn LogService,
    environment: &Name,
    promotion_id: &str,
) -> Result<Promotion, PromoteError> {
    let version = version_of(promotion_id)?;
    let mut reader = ConfigReader::from_first(log, environment);
    reader.read_to_end(Duration::ZERO).await?;
    let undecided = || Promotion::Undecided {
        promotion_id: promotion_id.to_owned(),
    };
    Ok(settled(&reader, promotion_id, version).unwrap_or_else(undecided))
}

/// The document in force in an environment, if there is one.
pub async fn read_document(
    log: &dyn LogService,
    environment: &Name,
) -> Result<Option<String>, PromoteError> {
    let mut reader = ConfigReader::near_end(log, environment).await?;
    reader.read_to_end(Duration::ZERO).await?;
    let accepted = reader.follower().accepted();
    Ok(accepted.map(|a| a.record.document.clone()))
}

async fn publish(
    log: &dyn LogService,
    options: PromoteOptions,
    now_ms: u64,
) -> Result<Promotion, PromoteError> {
    let report = check_document(&options.document);
    if !report.faults.is_empty() {
        return Err(PromoteError::Document(report.format_faults()));
    }
    let mut reader = ConfigReader::near_end(log, &options.environment).await?;
    reader.read_to_end(Duration::ZERO).await?;
    let settle_within = options.settle_within;
    let follower = reader.follower();
    let (record, bytes) = if follower.is_continuous() {
        let record = next_record(follower.accepted(), options, now_ms);
        let bytes = record.encode()?;
        (record, bytes)
    } else if let Some(version) = options.recover_above {
        recovery(follower, version, options, now_ms)?
    } else {
        return Err(PromoteError::NoBase {
            environment: options.environment,
            wait_s: BASE_WAIT_S,
        });
    };
    if record.parent == Some(record.digest) {
        return Ok(Promotion::AlreadyInForce {
            version: record.version - 1,
            digest: record.digest,
        });
    }
    match log.append(reader.stream(), bytes).await {
        Err(e) if e.had_no_effect() => Err(e.into()),
        _ => Ok(read_back(reader, &record, settle_within).await),
    }
}

/// A record without a parent, above all known versions.
fn recovery(
    follower: &ConfigFollower,
    stated: u64,
    options: PromoteOptions,
    now_ms: u64,
) -> Result<(ConfigRecord, Vec<u8>), PromoteError> {
    let known = follower.version().max(stated);
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

/// Reads on until the record was judged, or can no longer be accepted. It is never appended
/// again.
async fn read_back(
    mut reader: ConfigReader<'_>,
    record: &ConfigRecord,
    within: Duration,
) -> Promotion {
    let deadline = Instant::now() + within;
    loop {
        if reader.read_to_end(READ_WAIT).await.is_err() {
            sleep(RETRY_PAUSE).await;
        }
        if let Some(end) = settled(&reader, &record.promotion_id, record.version) {
            return end;
        }
        if Instant::now() >= deadline {
            return Promotion::Undecided {
                promotion_id: record.promotion_id.clone(),
            };
        }
    }
}

/// How the promotion ended, if the records read so far decide it.
fn settled(reader: &ConfigReader<'_>, promotion_id: &str, version: u64) -> Option<Promotion> {
    let (judged, follower) = (reader.judged(), reader.follower());
    let accepted = judged
        .iter()
        .filter(|j| matches!(j.verdict, Verdict::Accepted(_)))
        .filter_map(|j| j.promotion.as_ref());
    let accepted: Vec<_> = accepted.collect();
    if let Some(own) = accepted.iter().find(|p| p.promotion_id == promotion_id) {
        return Some(Promotion::Accepted {
            version: own.version,
            digest: own.digest,
        });
    }
    let current = follower.accepted().map(|a| a.record.summary());
    if let Some(own) = current.as_ref().filter(|p| p.promotion_id == promotion_id) {
        return Some(Promotion::Accepted {
            version: own.version,
            digest: own.digest,
        });
    }
    let winner = accepted.iter().find(|p| p.version == version).copied();
    let winner = winner.or(current.as_ref().filter(|p| p.version == version));
    if let Some(winner) = winner {
        return Some(Promotion::Rejected {
            winner: Some(winner.clone()),
            current: follower.version(),
        });
    }
    let judged_as_lost = judged.iter().any(|j| {
        let own = j.promotion.as_ref();
        own.is_some_and(|p| p.promotion_id == promotion_id)
    });
    judged_as_lost.then(|| Promotion::Rejected {
        winner: None,
        current: follower.version(),
    })
}

/// Whether a document with this digest was accepted in an environment, as far as its log goes
/// back.
async fn was_accepted(
    log: &dyn LogService,
    environment: &Name,
    digest: Digest,
) -> Result<bool, LogError> {
    let mut reader = ConfigReader::from_first(log, environment);
    reader.read_to_end(Duration::ZERO).await?;
    let in_force = reader.follower().accepted();
    let now = in_force.is_some_and(|a| a.record.digest == digest);
    let before = reader.judged().iter().any(|j| match &j.verdict {
        Verdict::Accepted(a) => a.record.digest == digest,
        _ => false,
    });
    Ok(now || before)
}

fn version_of(promotion_id: &str) -> Result<u64, PromoteError> {
    let version = promotion_id
        .split_once('-')
        .and_then(|(v, _)| v.parse().ok());
    version.ok_or_else(|| PromoteError::PromotionId(promotion_id.to_owned()))
}
