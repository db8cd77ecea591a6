//! Putting a document in force: in the trial environment, and then unchanged in production.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{PromoteError, Promotion, config_reader::ConfigReader};
use crate::{
    core::{
        Name,
        config::{ConfigRecord, Follower, Judged, Verdict},
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
    let judged = reader.read_to_end(Duration::ZERO).await?;
    let undecided = || Promotion::Undecided {
        promotion_id: promotion_id.to_owned(),
    };
    let follower = reader.follower();
    Ok(settled(&judged, follower, promotion_id, version).unwrap_or_else(undecided))
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
        return Err(PromoteError::Document(report.faults_text()));
    }
    let mut reader = ConfigReader::near_end(log, &options.environment).await?;
    reader.read_to_end(Duration::ZERO).await?;
    let follower = reader.follower();
    if !follower.is_continuous() {
        return Err(PromoteError::NoBase {
            environment: options.environment,
            wait_s: BASE_WAIT_S,
        });
    }
    let settle_within = options.settle_within;
    let record = next_record(follower, options, now_ms);
    if record.parent == Some(record.digest) {
        return Ok(Promotion::AlreadyInForce {
            version: follower.version(),
            digest: record.digest,
        });
    }
    let appended = log.append(reader.stream(), record.encode()?);
    match appended.await {
        Err(e) if e.had_no_effect() => Err(e.into()),
        _ => Ok(read_back(reader, &record, settle_within).await),
    }
}

fn next_record(follower: &Follower, options: PromoteOptions, now_ms: u64) -> ConfigRecord {
    let version = follower.version() + 1;
    ConfigRecord {
        version,
        parent: follower.accepted().map(|a| a.record.digest),
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
    let mut judged: Vec<Judged> = Vec::new();
    loop {
        match reader.read_to_end(READ_WAIT).await {
            Ok(more) => judged.extend(more),
            Err(_) => sleep(RETRY_PAUSE).await,
        }
        let (id, version) = (record.promotion_id.as_str(), record.version);
        if let Some(end) = settled(&judged, reader.follower(), id, version) {
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
fn settled(
    judged: &[Judged],
    follower: &Follower,
    promotion_id: &str,
    version: u64,
) -> Option<Promotion> {
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
    let judged = reader.read_to_end(Duration::ZERO).await?;
    let in_force = reader.follower().accepted();
    let now = in_force.is_some_and(|a| a.record.digest == digest);
    let before = judged.iter().any(|j| match &j.verdict {
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
