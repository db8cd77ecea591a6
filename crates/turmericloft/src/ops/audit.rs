//! The trail of changes: who, when, from what, to what, and when each gateway had it in force.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use serde::Serialize;

use super::{
    config_reader::ConfigReader,
    gateway_records::{WrittenRecord, read_gateway_records},
};
use crate::{
    core::{
        Name,
        config::{EvaluatedRecord, PromotionSummary, Verdict},
        document::Digest,
    },
    sources::log_service::{LogError, LogService},
};

/// The trail of one environment, oldest first, as far as the log goes back.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Audit {
    /// The environment.
    pub environment: Name,
    /// One row for each promotion, rejected ones included.
    pub rows: Vec<AuditRow>,
    /// Records that could not be read as promotions.
    pub unreadable: u64,
}

/// One promotion.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AuditRow {
    /// The promotion.
    #[serde(flatten)]
    pub promotion: PromotionSummary,
    /// Whether it was accepted.
    pub accepted: bool,
    /// Digest of the document that it replaced; none for the first one and for rejected ones.
    pub from: Option<Digest>,
    /// When each gateway told that it had this version in force. One that took several versions
    /// in quick succession tells only the newest.
    pub in_force: Vec<InForceAt>,
}

/// When a gateway put a version in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InForceAt {
    /// The gateway.
    pub host: Name,
    /// By the gateway's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Reads the trail of an environment.
pub async fn read_audit(log: &dyn LogService, environment: &Name) -> Result<Audit, LogError> {
    let mut reader = ConfigReader::from_first(log, environment);
    reader.read_to_end(Duration::ZERO).await?;
    let judged = reader.judged();
    let records = read_gateway_records(log, environment).await?;
    let unreadable = judged
        .iter()
        .filter(|j| matches!(j.verdict, Verdict::Malformed(_)));
    Ok(Audit {
        environment: environment.clone(),
        unreadable: unreadable.count() as u64,
        rows: rows(judged, &in_force_times(&records)),
    })
}

fn rows(judged: &[EvaluatedRecord], times: &BTreeMap<u64, Vec<InForceAt>>) -> Vec<AuditRow> {
    let mut current = None;
    let mut accepted_ids = HashSet::new();
    let mut rows = Vec::new();
    for judged in judged {
        let Some(promotion) = judged.promotion.clone() else {
            continue;
        };
        let accepted = match &judged.verdict {
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

/// The first time of each version at each host.
fn in_force_times(records: &[WrittenRecord]) -> BTreeMap<u64, Vec<InForceAt>> {
    let mut times: BTreeMap<u64, Vec<InForceAt>> = BTreeMap::new();
    for WrittenRecord { record, .. } in records {
        let known = times.entry(record.version).or_default();
        if !known.iter().any(|t| t.host == record.host.name) {
            known.push(InForceAt {
                host: record.host.name.clone(),
                at_ms: record.in_force_at_ms,
            });
        }
    }
    times
}
