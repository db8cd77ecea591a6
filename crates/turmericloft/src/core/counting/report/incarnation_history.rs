//! What the log service has of one incarnation.

use std::collections::BTreeMap;

use crate::core::counting::{
    CountKey, CountRow, LatencyHistogram, Resolution, RoundHeader, RoundPart,
};

/// Rounds of one incarnation by sequence. Parts may come in any order, any number of times.
#[derive(Clone, Debug, Default)]
pub(super) struct IncarnationHistory {
    rounds: BTreeMap<RoundKey, Round>,
}

/// A round is told apart by what it builds on, too: a reporter that was started again may cut
/// the same snapshot in another way.
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
    /// Newest round taken in; `None` before the first.
    pub(super) header: Option<RoundHeader>,
    /// Coarsest resolution of the rounds taken in since the moment before.
    pub(super) coarsest: Resolution,
    /// Cumulative counts, with the times that were dropped since.
    pub(super) rows: BTreeMap<CountKey, CountRow>,
    /// Times of rows that were dropped when the resolution became coarser.
    dropped: BTreeMap<CountKey, LatencyHistogram>,
}

impl IncarnationHistory {
    pub(super) fn add(&mut self, part: RoundPart) {
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

    /// Calls `see` with the counts known at each of `moments`, which ascend.
    pub(super) fn at_each(&self, moments: &[u64], mut see: impl FnMut(&IncarnationState)) {
        let mut state = IncarnationState::default();
        let mut rounds = self.rounds.values().filter(|r| r.is_whole()).peekable();
        for &moment in moments {
            while let Some(round) = rounds.next_if(|r| r.header.taken_at_ms <= moment) {
                state.take(round);
            }
            see(&state);
            state.coarsest = state
                .header
                .as_ref()
                .map_or_else(Resolution::default, |h| h.resolution);
        }
    }

    /// The newest counts known.
    pub(super) fn newest(&self) -> IncarnationState {
        let mut found = IncarnationState::default();
        self.at_each(&[u64::MAX], |state| found = state.clone());
        found
    }

    /// The first counts that are known whole.
    pub(super) fn first(&self) -> IncarnationState {
        let mut state = IncarnationState::default();
        let whole = |r: &&Round| r.is_whole() && r.header.base_sequence == 0;
        if let Some(round) = self.rounds.values().find(whole) {
            state.take(round);
        }
        state
    }
}

impl IncarnationState {
    /// Time as of which the counts are exact; 0 if nothing is known.
    pub(super) fn as_of_ms(&self) -> u64 {
        self.header.as_ref().map_or(0, |h| h.taken_at_ms)
    }

    /// Replaces a row; times that it no longer has are kept.
    fn take_row(&mut self, mut row: CountRow) {
        if let Some(known) = self.rows.get(&row.key) {
            let dropped = self.dropped.get(&row.key).cloned().unwrap_or_default();
            let shown = known.counts.latency.since(&dropped).unwrap_or_default();
            if row.counts.latency.since(&shown).is_none() {
                let dropped = self.dropped.entry(row.key.clone()).or_default();
                dropped.merge(&shown);
            }
        }
        if let Some(dropped) = self.dropped.get(&row.key) {
            row.counts.latency.merge(dropped);
        }
        self.rows.insert(row.key.clone(), row);
    }

    /// Takes a round in, unless it builds on one that is missing.
    fn take(&mut self, round: &Round) {
        let known = self.header.as_ref().map_or(0, |h| h.sequence);
        if round.header.base_sequence > known || round.header.sequence < known {
            return;
        }
        for row in round.parts.values().flatten() {
            self.take_row(row.clone());
        }
        self.coarsest = self.coarsest.max(round.header.resolution);
        self.header = Some(round.header.clone());
    }
}

impl Round {
    fn is_whole(&self) -> bool {
        self.parts.len() == self.header.parts as usize
    }
}
