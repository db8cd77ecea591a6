//! State of the contact to endpoints.

use std::time::Instant;

/// Whether the gateway reaches endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ContactState {
    /// Endpoints respond, or too few have failed to tell.
    InTouch,
    /// No endpoint responds.
    CutOff {
        /// When this was noticed.
        since: Instant,
        /// When the first of two checks was answered; `None` if none was.
        answered_at: Option<Instant>,
        /// When the next checks are due.
        next_checks: Instant,
        /// Checks that have failed since.
        failed_checks: usize,
    },
}
