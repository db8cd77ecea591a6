//! How much an owner may grant in view of restarts of its process.
//!
//! Load pattern: all gateways lose power at the same moment and start again within a second or two. If an owner that
//! has started granted nothing until all grants of its earlier process have left the window, nothing would be served
//! for all that time; if it granted its whole part at once, a busy organisation would get it twice. So an owner
//! ordinarily grants two thirds of its part, and the last third is for the first window after a restart. Before it
//! grants more than two thirds, it records in the store that it does, and then its next process grants nothing in its
//! first window. The next process also records that it has begun to use the last third, in case that it ends too.
//!
//! A write without an answer may be executed seconds later. Until the store has confirmed a later one, the owner keeps to
//! what both allow (`WrittenRecords`).

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{EarlierRecords, RestartRecord, RestartWrite, written_records::WrittenRecords};

/// Parts of an allowance of which one is kept for the first window after a restart.
const RESTART_DIVISOR: u32 = 3;
/// Part of what an owner ordinarily grants from which on it asks for the record that lets it grant more, in percent.
/// Writing it takes a moment.
const RECORD_FROM_PERCENT: u32 = 80;
/// Time after which an organisation is not busy any more, in multiples of the time for which a grant counts. From then
/// on no grant beyond two thirds counts.
const CALM_INTERVALS: u32 = 1;

const _: () = assert!(CALM_INTERVALS >= 1);

/// How much of its parts an owner may grant.
#[derive(Clone, Debug, Default)]
pub(super) struct RestartState {
    /// What the store has of the records of this process.
    written: WrittenRecords,
    /// What has to be in the store.
    wanted: RestartRecord,
    /// When more than two thirds of a part were last in use, for each busy organisation.
    busy_at: BTreeMap<Arc<str>, Instant>,
    /// Time for which a grant counts.
    grant_interval: Duration,
    /// Record of the earlier process; `None` if it is not known whether there was one.
    before: Option<RestartRecord>,
    /// When the grants of an earlier process have left the window; `None` if there was none.
    first_window_ends: Option<Instant>,
}

impl RestartState {
    pub(super) fn new(grant_interval: Duration) -> Self {
        Self {
            grant_interval,
            ..Self::default()
        }
    }

    /// Records that an earlier process may have run on the host, whose grants have left the window at
    /// `first_window_ends`.
    pub(super) fn record_restart(&mut self, first_window_ends: Instant) {
        self.first_window_ends = Some(first_window_ends);
    }

    /// Whether the record of the earlier process has to be read.
    pub(super) fn needs_record(&self) -> bool {
        self.first_window_ends.is_some() && self.before.is_none()
    }

    fn is_in_first_window(&self, now: Instant) -> bool {
        self.first_window_ends.is_some_and(|ends| now < ends)
    }

    /// Records what the store says of the earlier processes, and asks for a record of this one.
    pub(super) fn record_before(&mut self, now: Instant, earlier: &EarlierRecords) {
        let before = earlier.newest();
        self.wanted.busy.clone_from(&before.busy);
        let busy = before.busy.iter().map(|name| (Arc::clone(name), now));
        self.busy_at.extend(busy);
        self.wanted.is_restarting = true;
        self.written.follow(earlier.generations());
        self.before = Some(before);
    }

    /// How many of `part` requests of an organisation may be granted in a window now.
    pub(super) fn usable(&self, now: Instant, organisation: &str, part: u32) -> u32 {
        let reserve = part / RESTART_DIVISOR;
        if self.is_in_first_window(now) {
            return match &self.before {
                Some(before)
                    if self.written.is_restarting() && before.allows_reserve(organisation) =>
                {
                    reserve
                }
                _ => 0,
            };
        }
        // One that is not busy any more is limited before the store says so.
        let is_recorded =
            self.written.is_busy(organisation) && self.wanted.busy.contains(organisation);
        match is_recorded {
            true => part,
            false => part - reserve,
        }
    }

    /// Records that `used` requests of an organisation, of `part`, count now.
    pub(super) fn record_used(&mut self, now: Instant, organisation: &str, used: u32, part: u32) {
        let ordinary = part - part / RESTART_DIVISOR;
        let is_busy = u64::from(used) * 100 >= u64::from(ordinary) * u64::from(RECORD_FROM_PERCENT);
        if is_busy && !self.is_in_first_window(now) {
            let name: Arc<str> = organisation.into();
            self.busy_at.insert(Arc::clone(&name), now);
            self.wanted.busy.insert(name);
        }
    }

    /// Ends the records of organisations that have kept to two thirds for so long that no other grant counts.
    fn forget_calm(&mut self, now: Instant) {
        let interval = self.grant_interval;
        self.busy_at
            .retain(|_, at| now.saturating_duration_since(*at) < interval * CALM_INTERVALS);
        let busy_at = &self.busy_at;
        self.wanted.busy.retain(|name| busy_at.contains_key(name));
    }

    /// The record to be written now; `None` if the store has it. `unix_ms` is the time of day, in Unix milliseconds.
    pub(super) fn start_write(&mut self, now: Instant, unix_ms: u64) -> Option<RestartWrite> {
        if !self.is_in_first_window(now) {
            self.wanted.is_restarting = false;
        }
        self.forget_calm(now);
        if self.written.is_confirmed(&self.wanted) {
            return None;
        }
        Some(self.written.start(&self.wanted, unix_ms))
    }

    /// Whether the store lacks a record because of requests.
    pub(super) fn has_unwritten(&self) -> bool {
        self.written.lacks_busy(&self.wanted)
    }

    /// Records that the store has confirmed a write.
    pub(super) fn record_confirmed(&mut self, write: RestartWrite) {
        self.written.record_confirmed(write);
    }

    /// Records that a write got no answer, or was refused.
    pub(super) fn record_unconfirmed(&mut self) {
        self.written.record_unconfirmed();
    }

    /// When the record changes by itself; `None` if it does not.
    pub(super) fn changes_at(&self) -> Option<Instant> {
        let first_window_ends = self.first_window_ends.filter(|_| self.wanted.is_restarting);
        let busy_at = self.busy_at.values().min();
        let calm_at = busy_at.map(|at| *at + self.grant_interval * CALM_INTERVALS);
        [first_window_ends, calm_at].into_iter().flatten().min()
    }
}
