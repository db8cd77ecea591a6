//! Which crashes have to be written to the store that all availability zones read.

use std::{collections::HashSet, time::Instant};

use super::{CrashId, CrashReport, ExchangeTimings};

/// How soon a gateway has to write what the store lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WriteUrgency {
    /// Only requests that were broken off once, of which most are sound, or crashes that a response
    /// has cleared.
    Batched,
    /// A request that crashed endpoints more than once: one more crash may put it in quarantine.
    Immediate,
}

/// The crashes that the store holds, as far as the gateway that reads them knows.
///
/// Load pattern: an endpoint that crashes, or resets connections when it is full, breaks off many sound
/// requests at once, on all gateways, and each write to the store is read by all zones. So the first
/// crash after a quiet time is written soon, and those that follow together with others. None is
/// written twice.
#[derive(Clone, Debug)]
pub struct StoredCrashes {
    timings: ExchangeTimings,
    crashes: HashSet<CrashId>,
    cleared: HashSet<CrashId>,
    /// Since when the store lacks something; `None` if it does not.
    outdated_since: Option<Instant>,
    written_at: Option<Instant>,
}

impl StoredCrashes {
    /// The store holds nothing, as far as is known.
    pub fn new(timings: ExchangeTimings) -> Self {
        Self {
            timings,
            crashes: HashSet::new(),
            cleared: HashSet::new(),
            outdated_since: None,
            written_at: None,
        }
    }

    /// Records reports that were read from the store or written to it.
    pub fn record<'a>(&mut self, reports: impl IntoIterator<Item = &'a CrashReport>) {
        for report in reports {
            self.crashes.extend(report.crashes.iter().map(|c| c.id));
            self.cleared.extend(&report.cleared);
        }
    }

    /// Forgets crashes that the gateway's table, given by its reports, no longer contains.
    pub fn retain(&mut self, table: &[CrashReport]) {
        let crashes = table.iter().flat_map(|r| r.crashes.iter().map(|c| c.id));
        let cleared = table.iter().flat_map(|r| r.cleared.iter().copied());
        let known: HashSet<_> = crashes.chain(cleared).collect();
        self.crashes.retain(|id| known.contains(id));
        self.cleared.retain(|id| known.contains(id));
    }

    /// Records that the table was written.
    pub fn record_write(&mut self, now: Instant, table: &[CrashReport]) {
        self.record(table);
        self.written_at = Some(now);
        self.outdated_since = None;
    }

    /// When the table has to be written; `None` if the store lacks nothing of it.
    pub fn write_due(&mut self, now: Instant, table: &[CrashReport]) -> Option<Instant> {
        let urgency = table
            .iter()
            .filter_map(|report| self.urgency_of(report))
            .max();
        let Some(urgency) = urgency else {
            self.outdated_since = None;
            return None;
        };
        let is_repeated = urgency == WriteUrgency::Immediate;
        let since = *self.outdated_since.get_or_insert(now);
        let collected_at = since + self.timings.collect(is_repeated);
        let interval = self.timings.write_interval(is_repeated);
        let next_write = self.written_at.map(|at| at + interval);
        Some(next_write.map_or(collected_at, |at| at.max(collected_at)))
    }

    fn urgency_of(&self, report: &CrashReport) -> Option<WriteUrgency> {
        let lacks_crash = report.crashes.iter().any(|c| !self.crashes.contains(&c.id));
        let is_outdated = |id| self.crashes.contains(id) && !self.cleared.contains(id);
        let lacks_clearing = report.cleared.iter().any(is_outdated);
        match (lacks_crash, lacks_clearing) {
            (true, _) if report.crashes.len() > 1 => Some(WriteUrgency::Immediate),
            (false, false) => None,
            _ => Some(WriteUrgency::Batched),
        }
    }
}
