//! Counts of one key.

use serde::{Deserialize, Serialize};
use strum::EnumCount;

use super::CountKey;
use crate::core::Outcome;

/// Cumulative counts of one caller, service and kind within one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountRow {
    /// What is counted.
    pub key: CountKey,
    /// Requests admitted, ended or not.
    pub admitted: u64,
    /// Requests ended, by [`Outcome`] in the order of its variants.
    pub ended: [u64; Outcome::COUNT],
}

impl CountRow {
    /// A row of zeros.
    pub fn new(key: CountKey) -> Self {
        Self {
            key,
            admitted: 0,
            ended: [0; Outcome::COUNT],
        }
    }

    /// Requests that ended with `outcome`.
    pub fn ended_with(&self, outcome: Outcome) -> u64 {
        self.ended[outcome as usize]
    }

    /// Adds another row's counts.
    pub fn add(&mut self, other: &Self) {
        self.admitted += other.admitted;
        for (sum, n) in self.ended.iter_mut().zip(other.ended) {
            *sum += n;
        }
    }
}
