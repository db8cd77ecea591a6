//! Lifetime of one incarnation, and gaps in its counts.

use super::{GapReason, History, IncarnationHistory, IncarnationState, Period};
use crate::core::HostId;

/// Time beyond two planned intervals without a round after which a gateway is silent, in
/// milliseconds.
const SILENCE_GRACE_MS: u64 = 5_000;
/// Time after the last counts of a silent gateway in which a period must start to be incomplete
/// because of it, in milliseconds.
const SILENCE_HORIZON_MS: u64 = 3_600_000;

/// An incarnation with its oldest and newest known counts and the start of its successor.
#[derive(Debug)]
pub(super) struct IncarnationLifetime<'a> {
    pub(super) host: &'a HostId,
    oldest_full: IncarnationState,
    newest: IncarnationState,
    /// Start of the next incarnation of the same gateway, in milliseconds since the Unix epoch.
    next_start_ms: Option<u64>,
    /// Whether the log service has dropped records.
    has_dropped_records: bool,
}

/// Counts at the start of a period, which are subtracted from those at its end.
#[derive(Debug)]
pub(super) struct Baseline {
    pub(super) state: IncarnationState,
    /// Why the counts may not be those of the start; `None` if they are exact.
    pub(super) gap: Option<GapReason>,
}

impl<'a> IncarnationLifetime<'a> {
    pub(super) fn new(
        history: &History,
        host: &'a HostId,
        incarnation: &IncarnationHistory,
    ) -> Self {
        Self {
            host,
            oldest_full: incarnation.oldest_full_state(),
            newest: incarnation.newest_state(),
            next_start_ms: history.next_start_ms(host),
            has_dropped_records: history.retained_from_ms.is_some(),
        }
    }

    /// Time up to which the counts are known, in milliseconds since the Unix epoch; the start of
    /// the incarnation before its first round.
    pub(super) fn known_until_ms(&self) -> u64 {
        self.newest.as_of_ms().max(self.host.incarnation)
    }

    /// Whether the incarnation has neither ended nor been superseded.
    pub(super) fn is_running(&self) -> bool {
        !self.is_ended() && self.next_start_ms.is_none()
    }

    /// Whether the incarnation cannot have counted a request in the period.
    pub(super) fn is_outside(&self, period: Period) -> bool {
        let is_over = self.is_ended() && self.newest.as_of_ms() <= period.from_ms;
        let is_superseded = self.next_start_ms.is_some_and(|at| at <= period.from_ms);
        self.host.incarnation >= period.to_ms || is_over || is_superseded
    }

    /// Counts at the start of the period; `state` holds the counts known at that time.
    pub(super) fn baseline(&self, period: Period, state: IncarnationState) -> Baseline {
        if self.host.incarnation >= period.from_ms {
            return Baseline {
                state: IncarnationState::default(),
                gap: None,
            };
        }
        if state.header.is_some() {
            let is_late = is_silent(&state, period.from_ms);
            let gap = is_late.then_some(GapReason::LateCounts);
            return Baseline { state, gap };
        }
        let first_ms = self.oldest_full.as_of_ms();
        let is_prompt =
            first_ms.saturating_sub(self.host.incarnation) <= grace_ms(&self.oldest_full);
        if is_prompt || !self.has_dropped_records {
            let is_late = first_ms > period.from_ms + grace_ms(&self.oldest_full);
            let gap = is_late.then_some(GapReason::LateCounts);
            return Baseline { state, gap };
        }
        Baseline {
            state: self.oldest_full.clone(),
            gap: Some(GapReason::PastRetention),
        }
    }

    /// Why counts at the end of the period may be missing; `state` holds the counts known at that
    /// time. `None` if none are missing.
    pub(super) fn gap_at_end(&self, period: Period, state: &IncarnationState) -> Option<GapReason> {
        if state.header.as_ref().is_some_and(|h| h.is_last) {
            return None;
        }
        let known_until_ms = self.known_until_ms();
        if let Some(next_start_ms) = self.next_start_ms.filter(|_| !self.is_ended()) {
            let overlaps = period.from_ms < next_start_ms && period.to_ms > known_until_ms;
            if overlaps {
                return Some(GapReason::EndedWithoutLastCounts);
            }
        }
        let as_of_ms = state.as_of_ms().max(self.host.incarnation);
        if period.to_ms.saturating_sub(as_of_ms) <= grace_ms(state) {
            return None;
        }
        if known_until_ms > period.to_ms {
            return Some(self.late_gap_reason(state));
        }
        let is_recent = period.from_ms < known_until_ms + SILENCE_HORIZON_MS;
        is_recent.then_some(GapReason::Silent)
    }

    fn late_gap_reason(&self, state: &IncarnationState) -> GapReason {
        if state.header.is_none() && self.has_dropped_records {
            GapReason::PastRetention
        } else {
            GapReason::LateCounts
        }
    }

    fn is_ended(&self) -> bool {
        self.newest.header.as_ref().is_some_and(|h| h.is_last)
    }
}

fn is_silent(state: &IncarnationState, at_ms: u64) -> bool {
    at_ms.saturating_sub(state.as_of_ms()) > grace_ms(state)
}

/// Time after a round within which the next is expected, in milliseconds.
fn grace_ms(state: &IncarnationState) -> u64 {
    let interval_ms = state.header.as_ref().map_or(0, |h| h.interval_ms);
    2 * interval_ms + SILENCE_GRACE_MS
}
