//! Audit log of promotions: author, time, old and new document, and when each gateway activated it.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use serde::Serialize;

use super::{
    config_reader::ConfigReader,
    gateway_records::{AppendedRecord, read_gateway_records},
};
use crate::{
    core::{
        Name,
        config::{EvaluatedRecord, PromotionSummary, Verdict},
        document::Digest,
    },
    sources::log_service::{LogError, LogService},
};

/// Promotions of one environment, oldest first, within the retention of the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Audit {
    /// Environment that was read.
    pub environment: Name,
    /// One row per promotion, including rejected ones.
    pub rows: Vec<AuditRow>,
    /// Number of records that cannot be decoded as promotions.
    pub unreadable: u64,
}

/// One promotion in an [`Audit`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AuditRow {
    /// Author, time, version and digest of the promotion.
    #[serde(flatten)]
    pub promotion: PromotionSummary,
    /// Whether the promotion was accepted.
    pub accepted: bool,
    /// Digest of the document that it replaced; `None` for the first promotion and for rejected
    /// ones.
    pub from: Option<Digest>,
    /// Times at which gateways activated this version. A gateway that activated several versions
    /// in quick succession records only the newest.
    pub in_force: Vec<Activation>,
}

/// Time at which a gateway activated a version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Activation {
    /// Name of the gateway's host.
    pub host: Name,
    /// Activation time by the clock of the gateway, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Reads all promotions of an environment that the log contains.
pub async fn read_audit(log: &dyn LogService, environment: &Name) -> Result<Audit, LogError> {
    let mut reader = ConfigReader::from_first(log, environment);
    reader.read_to_end(Duration::ZERO).await?;
    let evaluated = reader.evaluated();
    let records = read_gateway_records(log, environment).await?;
    let unreadable = evaluated
        .iter()
        .filter(|j| matches!(j.verdict, Verdict::Malformed(_)));
    Ok(Audit {
        environment: environment.clone(),
        unreadable: unreadable.count() as u64,
        rows: rows(evaluated, &activation_times(&records)),
    })
}

fn rows(evaluated: &[EvaluatedRecord], times: &BTreeMap<u64, Vec<Activation>>) -> Vec<AuditRow> {
    let mut current = None;
    let mut accepted_ids = HashSet::new();
    let mut rows = Vec::new();
    for evaluated in evaluated {
        let Some(promotion) = evaluated.promotion.clone() else {
            continue;
        };
        let accepted = match &evaluated.verdict {
            Verdict::Accepted(_) => accepted_ids.insert(promotion.promotion_id.clone()),
            Verdict::Rejected { .. } if !accepted_ids.contains(&promotion.promotion_id) => false,
            _ => continue,
        };
        let (digest, version) = (promotion.digest, promotion.version);
        let in_force = accepted.then(|| times.get(&version).cloned());
        rows.push(AuditRow {
            promotion,
            accepted,
            from: current.filter(|_| accepted),
            in_force: in_force.flatten().unwrap_or_default(),
        });
        if accepted {
            current = Some(digest);
        }
    }
    rows
}

/// Returns the first activation time of each version on each host, keyed by version.
fn activation_times(records: &[AppendedRecord]) -> BTreeMap<u64, Vec<Activation>> {
    let mut times: BTreeMap<u64, Vec<Activation>> = BTreeMap::new();
    for AppendedRecord { record, .. } in records {
        let known = times.entry(record.version).or_default();
        if !known.iter().any(|t| t.host == record.host.name) {
            known.push(Activation {
                host: record.host.name.clone(),
                at_ms: record.in_force_at_ms,
            });
        }
    }
    times
}
