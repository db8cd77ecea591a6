//! Records of all gateways, as read from the log service.

use std::collections::BTreeMap;

use super::{Gap, GapReason, IncarnationHistory, Period};
use crate::core::{HostId, counting::RoundPart};

/// Counts of all incarnations of all gateways, collected from records.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub(super) incarnations: BTreeMap<HostId, IncarnationHistory>,
    pub(super) unreadable: Vec<Gap>,
    /// Time from which on the log service still keeps records, in milliseconds since the Unix
    /// epoch; `None` if it has dropped none.
    pub(super) retained_from_ms: Option<u64>,
}

impl History {
    /// Adds a decoded record. Neither the order of records nor duplicates affect the result.
    pub fn add_part(&mut self, part: RoundPart) {
        let host = part.round.host.clone();
        self.incarnations.entry(host).or_default().add_part(part);
    }

    /// Adds an encoded record. One that cannot be decoded adds a gap at `appended_at_ms`, the time
    /// of its append in milliseconds since the Unix epoch.
    pub fn add_record(&mut self, bytes: &[u8], appended_at_ms: u64) {
        match RoundPart::decode(bytes) {
            Ok(part) => self.add_part(part),
            Err(_) => self.unreadable.push(Gap {
                host: None,
                reason: GapReason::UnreadableRecord,
                from_ms: appended_at_ms,
            }),
        }
    }

    /// Records that the log service has dropped records appended before `retained_from_ms`, in
    /// milliseconds since the Unix epoch. The latest such time counts.
    pub fn record_retention_start(&mut self, retained_from_ms: u64) {
        let known = self.retained_from_ms.unwrap_or(retained_from_ms);
        self.retained_from_ms = Some(known.max(retained_from_ms));
    }

    /// Start of the oldest known incarnation, in milliseconds since the Unix epoch; `None` without
    /// records.
    pub fn oldest_start_ms(&self) -> Option<u64> {
        self.incarnations.keys().map(|h| h.incarnation).min()
    }

    /// Start of the next incarnation of the same gateway, in milliseconds since the Unix epoch;
    /// `None` if `host` is the newest known.
    pub(super) fn next_start_ms(&self, host: &HostId) -> Option<u64> {
        let later = self.incarnations.keys().filter(|h| h.name == host.name);
        let later = later.map(|h| h.incarnation);
        later.filter(|&at| at > host.incarnation).min()
    }

    /// Gaps in a period that concern the log service.
    pub(super) fn gaps(&self, period: Period) -> Vec<Gap> {
        let unreadable = self.unreadable.iter();
        let mut gaps: Vec<_> = unreadable
            .filter(|g| g.from_ms >= period.from_ms)
            .cloned()
            .collect();
        if let Some(from_ms) = self.retained_from_ms.filter(|&ms| period.from_ms < ms) {
            gaps.push(Gap {
                host: None,
                reason: GapReason::PastRetention,
                from_ms,
            });
        }
        gaps
    }
}
