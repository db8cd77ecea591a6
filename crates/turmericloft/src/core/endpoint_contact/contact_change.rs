//! Changes of the contact to endpoints.

use std::time::Duration;

/// A change of whether the gateway reaches endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactChange {
    /// No endpoint can be reached any more.
    CutOff {
        /// Endpoints that failed over new connections since the last one that responded over one.
        failed: usize,
        /// Endpoints that are known.
        known: usize,
        /// Time since the last response over any connection.
        silent_for: Duration,
    },
    /// Endpoints respond again.
    Restored {
        /// Time for which the gateway was cut off.
        lasted: Duration,
        /// Checks that failed in that time.
        failed_checks: usize,
    },
}
