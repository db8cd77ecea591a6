//! What is known of one request that endpoints broke off.

use std::time::{Duration, Instant};

use super::{
    Crash, CrashId, Survivor,
    crash_reports::{CrashReport, ReportedCrash},
};
use crate::core::{guard::Fingerprint, placement::InstanceId};

/// Maximum number of crashes that are kept of a request.
const MAX_CRASHES: usize = 8;
/// Maximum number of cleared crashes that are remembered of a request.
const MAX_CLEARED: usize = 16;
/// Number of crashes after which a request is not sent any more.
const CRASHES_TO_QUARANTINE: usize = 3;
/// Number of independent crashes among these: endpoints that are lost at one moment are no reason.
const INDEPENDENT_TO_QUARANTINE: u32 = 2;
/// Length of the first quarantine, from the last crash.
const FIRST_PERIOD: Duration = Duration::from_secs(60);
/// Factor by which a quarantine is longer than the one before it, whose end cost another endpoint.
const PERIOD_FACTOR: u32 = 4;
/// Longest quarantine.
const MAX_PERIOD: Duration = Duration::from_secs(3_600);

/// A crash and its identity.
#[derive(Clone, Debug)]
pub(super) struct KnownCrash {
    pub(super) id: CrashId,
    pub(super) crash: Crash,
}

/// The crashes of one request since its last response.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashHistory {
    /// In the order in which the request was sent.
    crashes: Vec<KnownCrash>,
    responded_at: Option<Instant>,
    /// Crashes that a response has cleared, and that late reports must not bring back. The latest are
    /// at the end.
    cleared: Vec<CrashId>,
    /// When an endpoint was last known to have survived a crash.
    survived_at: Option<Instant>,
}

impl CrashHistory {
    /// Adds a crash, unless it is known or a response came after it. Returns whether it was added.
    pub(super) fn add(&mut self, known: KnownCrash) -> bool {
        let crash = &known.crash;
        let is_cleared =
            self.cleared.contains(&known.id) || self.responded_at.is_some_and(|at| at >= crash.at);
        // Two copies may be in flight at an endpoint that crashes. It may crash again after a restart.
        let is_same_end = |c: &Crash| c.endpoint == crash.endpoint && crash.sent_at < c.at;
        let is_same = |c: &KnownCrash| c.id == known.id || is_same_end(&c.crash);
        let is_known = self.crashes.iter().any(is_same);
        if is_cleared || is_known {
            return false;
        }
        let id = known.id;
        let sent_at = crash.sent_at;
        let index = self.crashes.partition_point(|c| c.crash.sent_at <= sent_at);
        self.crashes.insert(index, known);
        self.crashes.len() <= MAX_CRASHES || self.drop_closest() != id
    }

    /// Drops the crash that follows the one before it most closely, so that those remain which show
    /// when the request was sent again, and always the latest. Returns the identity of the dropped one.
    fn drop_closest(&mut self) -> CrashId {
        let at = |i: usize| self.crashes[i].crash.at;
        let gap = |i: usize| at(i).saturating_duration_since(at(i - 1));
        let closest = (1..self.crashes.len() - 1).min_by_key(|i| gap(*i));
        self.crashes.remove(closest.unwrap_or_default()).id
    }

    /// Drops the crashes up to a response. Returns whether other gateways have to know of it: if it is
    /// the first one, or cleared a crash.
    pub(super) fn clear(&mut self, responded_at: Instant) -> bool {
        let is_first = self.responded_at.is_none();
        self.responded_at = self.responded_at.max(Some(responded_at));
        let is_before = |c: &&KnownCrash| c.crash.at <= responded_at;
        let cleared: Vec<_> = self
            .crashes
            .iter()
            .filter(is_before)
            .map(|c| c.id)
            .collect();
        for id in &cleared {
            self.clear_crash(*id);
        }
        is_first || !cleared.is_empty()
    }

    /// Drops the crashes that an endpoint has survived. Returns whether there were any.
    pub(super) fn clear_survived(&mut self, survivor: &Survivor) -> bool {
        let is_survived = |c: &Crash| {
            c.endpoint == survivor.endpoint && survivor.since <= c.at && c.at < survivor.until
        };
        let crashes = self.crashes.iter().filter(|c| is_survived(&c.crash));
        let ids: Vec<_> = crashes.map(|c| c.id).collect();
        for id in &ids {
            self.clear_crash(*id);
        }
        if !ids.is_empty() {
            self.survived_at = self.survived_at.max(Some(survivor.until));
        }
        !ids.is_empty()
    }

    /// The crashes since the last response.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().map(|c| &c.crash)
    }

    /// Drops one crash for good. Returns false if that is already done.
    fn clear_crash(&mut self, id: CrashId) -> bool {
        if self.cleared.contains(&id) {
            return false;
        }
        self.crashes.retain(|c| c.id != id);
        if self.cleared.len() >= MAX_CLEARED {
            self.cleared.remove(0);
        }
        self.cleared.push(id);
        true
    }

    /// Whether one more crash puts the request in quarantine.
    pub(super) fn is_suspect(&self) -> bool {
        self.independent_crashes() >= INDEPENDENT_TO_QUARANTINE
    }

    /// When the latest quarantine ends, which is the same on all gateways; `None` if there were not
    /// enough crashes for one.
    pub(super) fn quarantine_end(&self) -> Option<Instant> {
        let is_independent = self.independent_crashes() >= INDEPENDENT_TO_QUARANTINE;
        if self.crashes.len() < CRASHES_TO_QUARANTINE || !is_independent {
            return None;
        }
        let mut ends: Vec<_> = self.crashes.iter().map(|c| c.crash.at).collect();
        ends.sort_unstable();
        let mut later = ends.into_iter().skip(CRASHES_TO_QUARANTINE - 1);
        let mut last = later.next()?;
        let mut period = FIRST_PERIOD;
        for at in later {
            if at >= last + period {
                period = MAX_PERIOD.min(period * PERIOD_FACTOR);
            }
            last = at;
        }
        Some(last + period)
    }

    /// Number of crashes of which each one happened to a request that was sent after the one before.
    pub(super) fn independent_crashes(&self) -> u32 {
        let mut count = 0;
        let mut last: Option<Instant> = None;
        for KnownCrash { crash, .. } in &self.crashes {
            if last.is_none_or(|at| at <= crash.sent_at) {
                count += 1;
                last = Some(crash.at);
            }
        }
        count
    }

    /// Number of crashes since the last response.
    pub(super) fn crashes(&self) -> usize {
        self.crashes.len()
    }

    fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|c| c.crash.at).max()
    }

    /// Time of the latest crash or response, or of the latest sign that there was no crash.
    pub(super) fn last_change(&self) -> Option<Instant> {
        let last = self.last_crash().max(self.responded_at);
        last.max(self.survived_at)
    }

    pub(super) fn report(&self, now: Instant, request: Fingerprint) -> CrashReport {
        let age = |at: Instant| now.saturating_duration_since(at);
        let crashes = self
            .crashes
            .iter()
            .map(|KnownCrash { id, crash }| ReportedCrash {
                id: *id,
                endpoint: InstanceId::clone(&crash.endpoint),
                age: age(crash.at),
                ran_for: crash.at.saturating_duration_since(crash.sent_at),
            });
        CrashReport {
            request,
            crashes: crashes.collect(),
            cleared: self.cleared.clone(),
            response_age: self.responded_at.map(age),
        }
    }

    /// Adds what another gateway reports. Returns whether anything changed.
    pub(super) fn merge(&mut self, now: Instant, report: CrashReport) -> bool {
        let before = |age: Duration| now.checked_sub(age);
        let mut is_changed = false;
        for id in report.cleared {
            is_changed |= self.clear_crash(id);
        }
        if is_changed {
            self.survived_at = Some(now);
        }
        if let Some(responded_at) = report.response_age.and_then(before) {
            is_changed |= self.merge_response(responded_at);
        }
        for reported in report.crashes {
            if let Some(crash) = reported.into_known(now) {
                is_changed |= self.add(crash);
            }
        }
        is_changed
    }

    /// Takes over a response unless it is known. The same response is reported with a slightly
    /// different time by each gateway, and must not be passed on without end.
    fn merge_response(&mut self, responded_at: Instant) -> bool {
        let clears = self.crashes.iter().any(|c| c.crash.at <= responded_at);
        let is_first = self.responded_at.is_none();
        (clears || is_first) && self.clear(responded_at)
    }
}
