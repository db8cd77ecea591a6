//! Which crashes have to be written to the store that all availability zones read.

use std::collections::HashSet;

use super::{CrashId, CrashReport};

/// How soon a gateway has to write what the store lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteUrgency {
    /// Only requests that were broken off once, of which most are sound, or crashes that a response
    /// has cleared.
    Batched,
    /// A request that crashed endpoints more than once: one more crash may put it in quarantine.
    Immediate,
}

/// The crashes that the store holds, as far as the gateway that reads them knows.
///
/// Load pattern: an endpoint that crashes breaks off many sound requests at once, on all gateways, and
/// calls to the store are few. So most crashes are written together with others, and none twice.
#[derive(Clone, Debug, Default)]
pub struct StoredCrashes {
    crashes: HashSet<CrashId>,
    cleared: HashSet<CrashId>,
}

impl StoredCrashes {
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

    /// How soon the table has to be written; `None` if the store lacks nothing of it.
    pub fn urgency(&self, table: &[CrashReport]) -> Option<WriteUrgency> {
        table
            .iter()
            .filter_map(|report| self.urgency_of(report))
            .max()
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
