//! Rounds of one incarnation, as read from the log service.

use std::collections::BTreeMap;

use crate::core::counting::{
    CountKey, CountRow, LatencyHistogram, Resolution, RoundHeader, RoundPart,
};

/// Rounds of one incarnation, in the order of their sequence. Parts may be added in any order,
/// duplicates included.
#[derive(Clone, Debug, Default)]
pub(super) struct IncarnationHistory {
    rounds: BTreeMap<RoundKey, Round>,
}

/// Identity of a round. It includes the base and the number of parts, because a reporter that
/// restarted may encode the same snapshot in a different round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RoundKey {
    sequence: u64,
    base_sequence: u64,
    parts: u32,
}

#[derive(Clone, Debug)]
struct Round {
    header: RoundHeader,
    parts: BTreeMap<u32, Vec<CountRow>>,
}

/// Counts of an incarnation as of its newest known round.
#[derive(Clone, Debug, Default)]
pub(super) struct IncarnationState {
    /// Header of the newest applied round; `None` before the first.
    pub(super) header: Option<RoundHeader>,
    /// Coarsest resolution of the rounds applied since the previous moment.
    pub(super) coarsest: Resolution,
    /// Cumulative counts, including latencies that were cleared in between.
    pub(super) rows: BTreeMap<CountKey, CountRow>,
    /// Latencies that were cleared when the resolution became coarser.
    cleared_latency: BTreeMap<CountKey, LatencyHistogram>,
}

impl IncarnationHistory {
    pub(super) fn add_part(&mut self, part: RoundPart) {
        let key = RoundKey {
            sequence: part.round.sequence,
            base_sequence: part.round.base_sequence,
            parts: part.round.parts,
        };
        let round = self.rounds.entry(key).or_insert_with(|| Round {
            header: part.round,
            parts: BTreeMap::new(),
        });
        round.parts.insert(part.part, part.rows);
    }

    /// Calls `visit` with the counts known at each of `moments`, which must be in ascending order.
    pub(super) fn visit_states(&self, moments: &[u64], mut visit: impl FnMut(&IncarnationState)) {
        let mut state = IncarnationState::default();
        let mut rounds = self.rounds.values().filter(|r| r.is_complete()).peekable();
        for &moment in moments {
            while let Some(round) = rounds.next_if(|r| r.header.taken_at_ms <= moment) {
                state.apply_round(round);
            }
            visit(&state);
            state.coarsest = state
                .header
                .as_ref()
                .map_or_else(Resolution::default, |h| h.resolution);
        }
    }

    /// The newest known counts.
    pub(super) fn newest_state(&self) -> IncarnationState {
        let mut newest = IncarnationState::default();
        self.visit_states(&[u64::MAX], |state| newest = state.clone());
        newest
    }

    /// The counts of the oldest complete round that contains every row.
    pub(super) fn oldest_full_state(&self) -> IncarnationState {
        let mut state = IncarnationState::default();
        let is_full = |r: &&Round| r.is_complete() && r.header.base_sequence == 0;
        if let Some(round) = self.rounds.values().find(is_full) {
            state.apply_round(round);
        }
        state
    }
}

impl IncarnationState {
    /// Time as of which the counts are exact, in milliseconds since the Unix epoch; 0 before the
    /// first round.
    pub(super) fn as_of_ms(&self) -> u64 {
        self.header.as_ref().map_or(0, |h| h.taken_at_ms)
    }

    /// Replaces a row, but keeps latencies that the new row no longer contains.
    fn apply_row(&mut self, mut row: CountRow) {
        if let Some(known) = self.rows.get(&row.key) {
            let cleared = self
                .cleared_latency
                .get(&row.key)
                .cloned()
                .unwrap_or_default();
            let current = known.counts.latency.since(&cleared).unwrap_or_default();
            if row.counts.latency.since(&current).is_none() {
                let cleared = self.cleared_latency.entry(row.key.clone()).or_default();
                cleared.merge(&current);
            }
        }
        if let Some(cleared) = self.cleared_latency.get(&row.key) {
            row.counts.latency.merge(cleared);
        }
        self.rows.insert(row.key.clone(), row);
    }

    /// Applies a round, unless it is older than the state or its base is missing.
    fn apply_round(&mut self, round: &Round) {
        let known = self.header.as_ref().map_or(0, |h| h.sequence);
        if round.header.base_sequence > known || round.header.sequence < known {
            return;
        }
        for row in round.parts.values().flatten() {
            self.apply_row(row.clone());
        }
        self.coarsest = self.coarsest.max(round.header.resolution);
        self.header = Some(round.header.clone());
    }
}

impl Round {
    /// Whether all parts of the round have been added.
    fn is_complete(&self) -> bool {
        self.parts.len() == self.header.parts as usize
    }
}
