//! What the log service has of all gateways.

use std::collections::BTreeMap;

use super::{Gap, GapReason, IncarnationHistory, Period};
use crate::core::{HostId, counting::RoundPart};

/// The records of all incarnations of all gateways.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub(super) incarnations: BTreeMap<HostId, IncarnationHistory>,
    pub(super) unreadable: Vec<Gap>,
    /// Oldest moment of which the log service keeps records, if it has dropped any.
    pub(super) kept_from_ms: Option<u64>,
}

impl History {
    /// Takes a record in. Order and repetition make no difference.
    pub fn add(&mut self, part: RoundPart) {
        let host = part.round.host.clone();
        self.incarnations.entry(host).or_default().add(part);
    }

    /// Takes a record's bytes in; what cannot be read is noted as a gap.
    pub fn add_record(&mut self, bytes: &[u8], appended_at_ms: u64) {
        match RoundPart::decode(bytes) {
            Ok(part) => self.add(part),
            Err(_) => self.unreadable.push(Gap {
                host: None,
                reason: GapReason::UnreadableRecord,
                from_ms: appended_at_ms,
            }),
        }
    }

    /// Notes that the log service has dropped what was appended before `kept_from_ms`, in
    /// milliseconds since the Unix epoch.
    pub fn record_retention_start(&mut self, kept_from_ms: u64) {
        let known = self.kept_from_ms.unwrap_or(kept_from_ms);
        self.kept_from_ms = Some(known.max(kept_from_ms));
    }

    /// The start of the oldest incarnation known, in milliseconds since the Unix epoch.
    pub fn oldest_start_ms(&self) -> Option<u64> {
        self.incarnations.keys().map(|h| h.incarnation).min()
    }

    /// Start of the next incarnation of the same host, in milliseconds since the Unix epoch.
    pub(super) fn next_start_ms(&self, host: &HostId) -> Option<u64> {
        let later = self.incarnations.keys().filter(|h| h.name == host.name);
        let later = later.map(|h| h.incarnation);
        later.filter(|&at| at > host.incarnation).min()
    }

    /// Gaps of a period that are not of one incarnation.
    pub(super) fn gaps(&self, period: Period) -> Vec<Gap> {
        let unreadable = self.unreadable.iter();
        let mut gaps: Vec<_> = unreadable
            .filter(|g| g.from_ms >= period.from_ms)
            .cloned()
            .collect();
        if let Some(from_ms) = self.kept_from_ms.filter(|&ms| period.from_ms < ms) {
            gaps.push(Gap {
                host: None,
                reason: GapReason::PastRetention,
                from_ms,
            });
        }
        gaps
    }
}
