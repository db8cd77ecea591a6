//! What holds for one incarnation in every period.

use super::{GapReason, History, IncarnationHistory, IncarnationState, Period};
use crate::core::HostId;

/// Time beyond two planned intervals without a round, after which a gateway counts as silent.
const SILENCE_GRACE_MS: u64 = 5_000;
/// A silent gateway makes periods incomplete that begin up to this long after it was heard of.
const SILENCE_HORIZON_MS: u64 = 3_600_000;

/// An incarnation, when it was heard of first and last, and whether it ended.
#[derive(Debug)]
pub(super) struct KnownIncarnation<'a> {
    pub(super) host: &'a HostId,
    first: IncarnationState,
    newest: IncarnationState,
    next_start_ms: Option<u64>,
    truncated: bool,
}

/// Counts to subtract from those at a period's end, and why they may be wrong.
#[derive(Debug)]
pub(super) struct Base {
    pub(super) state: IncarnationState,
    pub(super) gap: Option<GapReason>,
}

impl<'a> KnownIncarnation<'a> {
    pub(super) fn new(
        history: &History,
        host: &'a HostId,
        incarnation: &IncarnationHistory,
    ) -> Self {
        Self {
            host,
            first: incarnation.first(),
            newest: incarnation.newest(),
            next_start_ms: history.next_start_ms(host),
            truncated: history.kept_from_ms.is_some(),
        }
    }

    /// Time up to which the counts are known.
    pub(super) fn known_to_ms(&self) -> u64 {
        self.newest.as_of_ms().max(self.host.incarnation)
    }

    /// Whether it may still count.
    pub(super) fn is_running(&self) -> bool {
        !self.is_ended() && self.next_start_ms.is_none()
    }

    /// Whether it cannot have counted anything in the period.
    pub(super) fn is_outside(&self, period: Period) -> bool {
        let over = self.is_ended() && self.newest.as_of_ms() <= period.from_ms;
        let superseded = self.next_start_ms.is_some_and(|at| at <= period.from_ms);
        self.host.incarnation >= period.to_ms || over || superseded
    }

    /// Counts at the start of the period; `state` is what was known then.
    pub(super) fn base(&self, period: Period, state: IncarnationState) -> Base {
        if self.host.incarnation >= period.from_ms {
            return Base {
                state: IncarnationState::default(),
                gap: None,
            };
        }
        if state.header.is_some() {
            let late = is_silent(&state, period.from_ms);
            let gap = late.then_some(GapReason::LateCounts);
            return Base { state, gap };
        }
        let first_ms = self.first.as_of_ms();
        let is_prompt = first_ms.saturating_sub(self.host.incarnation) <= grace_ms(&self.first);
        if is_prompt || !self.truncated {
            let late = first_ms > period.from_ms + grace_ms(&self.first);
            let gap = late.then_some(GapReason::LateCounts);
            return Base { state, gap };
        }
        Base {
            state: self.first.clone(),
            gap: Some(GapReason::PastRetention),
        }
    }

    /// Why counts at the end of the period may be missing; `state` is what was known then.
    pub(super) fn gap_at_end(&self, period: Period, state: &IncarnationState) -> Option<GapReason> {
        if state.header.as_ref().is_some_and(|h| h.is_last) {
            return None;
        }
        let known_to_ms = self.known_to_ms();
        if let Some(next_start_ms) = self.next_start_ms.filter(|_| !self.is_ended()) {
            let overlaps = period.from_ms < next_start_ms && period.to_ms > known_to_ms;
            if overlaps {
                return Some(GapReason::EndedWithoutLastCounts);
            }
        }
        let as_of_ms = state.as_of_ms().max(self.host.incarnation);
        if period.to_ms.saturating_sub(as_of_ms) <= grace_ms(state) {
            return None;
        }
        if known_to_ms > period.to_ms {
            return Some(self.late_reason(state));
        }
        let is_recent = period.from_ms < known_to_ms + SILENCE_HORIZON_MS;
        is_recent.then_some(GapReason::Silent)
    }

    fn late_reason(&self, state: &IncarnationState) -> GapReason {
        if state.header.is_none() && self.truncated {
            GapReason::PastRetention
        } else {
            GapReason::LateCounts
        }
    }

    fn is_ended(&self) -> bool {
        self.newest.header.as_ref().is_some_and(|h| h.is_last)
    }
}

fn is_silent(state: &IncarnationState, moment: u64) -> bool {
    moment.saturating_sub(state.as_of_ms()) > grace_ms(state)
}

/// Time after a round within which the next one is expected.
fn grace_ms(state: &IncarnationState) -> u64 {
    let interval_ms = state.header.as_ref().map_or(0, |h| h.interval_ms);
    2 * interval_ms + SILENCE_GRACE_MS
}
