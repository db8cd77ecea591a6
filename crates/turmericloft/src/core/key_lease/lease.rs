//! The right to use the keys of the active document.

use std::time::{Duration, Instant};

use super::{LeaseTimings, NewestDocument};

/// As of when the active document was the newest one, from which the right to use its keys counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyLease {
    as_of: Option<Instant>,
}

impl KeyLease {
    /// Applies what is known of the newest document while version `active` is the active one.
    ///
    /// While a newer version than the active one is known, the instant is one of the newer document and does not
    /// extend the lease. The lease keeps the instant from before, since a document that was acknowledged later cannot
    /// have revoked a key earlier. That instant stays valid when a newer document becomes active.
    pub fn confirm(&mut self, active: u64, newest: NewestDocument) {
        if newest.version <= active {
            self.as_of = self.as_of.max(newest.as_of);
        }
    }

    /// When the lease lapses; `None` if it was never confirmed.
    pub fn lapses_at(&self, timings: &LeaseTimings) -> Option<Instant> {
        self.as_of.map(|at| at + timings.length())
    }

    /// Whether keys may be used now.
    pub fn is_held(&self, now: Instant, timings: &LeaseTimings) -> bool {
        self.lapses_at(timings).is_some_and(|at| now < at)
    }

    /// Time since the active document was known to be the newest one; `None` if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|at| now.saturating_duration_since(at))
    }
}
