//! Parts of the registry's history that one gateway has not read.
//!
//! Load pattern: a gateway starts, or the registry returns after seconds with more records than one page takes or without
//! its history, and the gateway reads a list. An entry that was written and removed in between is neither in the list nor
//! known to be removed. A follower that has read a part of that time by itself may know the entry.

use std::collections::VecDeque;

use crate::core::placement::RegistryPosition;

/// Parts that are kept apart. The history before the last ones counts as skipped.
const MAX_PARTS: usize = 16;

/// The skipped parts, in rising order.
#[derive(Clone, Debug, Default)]
pub(super) struct SkippedHistory {
    /// Positions before and after each part.
    parts: VecDeque<(RegistryPosition, RegistryPosition)>,
}

impl SkippedHistory {
    /// Adds the part after all others, from `known_to` to `next`.
    pub(super) fn add(&mut self, known_to: RegistryPosition, next: RegistryPosition) {
        self.parts.push_back((known_to, next));
        if self.parts.len() > MAX_PARTS {
            self.parts.pop_front();
            if let Some((start, _)) = self.parts.front_mut() {
                *start = RegistryPosition::default();
            }
        }
    }

    /// Whether the history up to `position` ends within a skipped part.
    pub(super) fn contains(&self, position: RegistryPosition) -> bool {
        let mut parts = self.parts.iter();
        parts.any(|(start, end)| *start < position && position < *end)
    }
}
