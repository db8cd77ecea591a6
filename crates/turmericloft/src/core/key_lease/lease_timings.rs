//! Times of the lease on keys.

use std::time::Duration;

/// Time that a request has from the last check of the lease until its endpoint begins to work on it, in percent of the
/// time for revocations.
const MARGIN_PERCENT: u32 = 10;
/// Time for which a gateway without a path to the store goes on serving requests with keys, in percent of the time for
/// revocations.
const SERVE_PERCENT: u32 = 60;
/// Greatest age of the last confirmation of the document at a gateway with a path to the store, in percent of the time
/// for revocations.
const CONFIRM_PERCENT: u32 = 30;

// A gateway that loses its path to the store just before it would have confirmed its document still serves long enough,
// and its last request is with the endpoint in time.
const _: () = assert!(CONFIRM_PERCENT + SERVE_PERCENT + MARGIN_PERCENT <= 100);
// The lease is longer than the time between confirmations.
const _: () = assert!(CONFIRM_PERCENT < 100 - MARGIN_PERCENT);

/// Times of the lease on keys, all in proportion to the time within which a revocation has to be effective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimings {
    revocation: Duration,
}

impl LeaseTimings {
    /// `revocation` is the time after the acknowledgement of a configuration from which on no request runs with a key
    /// that it revokes.
    pub fn new(revocation: Duration) -> Self {
        Self { revocation }
    }

    /// Time for which keys may be used after the instant as of which the document was the newest one.
    pub fn length(&self) -> Duration {
        self.percent(100 - MARGIN_PERCENT)
    }

    /// Time for which a gateway without a path to the store still serves requests with keys.
    pub fn serve_time(&self) -> Duration {
        self.percent(SERVE_PERCENT)
    }

    /// Time within which a gateway with a path to the store has to confirm its document again.
    pub fn confirm_within(&self) -> Duration {
        self.percent(CONFIRM_PERCENT)
    }

    fn percent(&self, percent: u32) -> Duration {
        self.revocation * percent / 100
    }
}
