//! Intervals of the exchange of crashes between availability zones.
//!
//! Load pattern: a request crashes an endpoint in one zone after the other, each within a moment of the last.
//! The zones write what they saw to the store and read what the others wrote. A crash may just miss a write,
//! and that write just miss a read, so all waits together have to fit into the stability window.

use std::time::Duration;

/// Time between two writes with crashes of requests that were broken off once, as a fraction of the stability
/// window. Most of these requests are sound, and endpoints that reset connections may break them off all the time.
const SINGLE_WRITE_FRACTION: f64 = 0.7;
/// Time for which such crashes are collected after a quiet time, as a fraction of the stability window.
const COLLECT_FRACTION: f64 = 0.15;
/// Time between two writes while a request has crashed endpoints more than once, as a fraction of the stability
/// window.
const REPEATED_WRITE_FRACTION: f64 = 0.25;
/// Pause after a read that returned records, as a fraction of the stability window.
const READ_PAUSE_FRACTION: f64 = 0.2;
/// First check of a long poll, as a fraction of the stability window.
const FIRST_CHECK_FRACTION: f64 = 0.2;
/// Time between two checks while a request is suspected, as a fraction of the stability window.
const CHECK_INTERVAL_FRACTION: f64 = 0.45;
/// Time for calls to the store, and for the relay from the gateway that reads for a zone, as a fraction of
/// the stability window.
const TRANSFER_FRACTION: f64 = 0.1;

/// Time after which crashes of a repeated request are written, for those of the same moment.
const REPEATED_COLLECT: Duration = Duration::from_millis(20);

// A lost long poll delays a repeated crash by the time between two checks.
const _: () = assert!(
    REPEATED_WRITE_FRACTION + READ_PAUSE_FRACTION + CHECK_INTERVAL_FRACTION + TRANSFER_FRACTION
        <= 1.0
);
const _: () = assert!(SINGLE_WRITE_FRACTION + READ_PAUSE_FRACTION + TRANSFER_FRACTION <= 1.0);
const _: () = assert!(FIRST_CHECK_FRACTION <= CHECK_INTERVAL_FRACTION);
const _: () = assert!(COLLECT_FRACTION <= SINGLE_WRITE_FRACTION);

/// Intervals of the exchange, all but one in proportion to the stability window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeTimings {
    stability_window: Duration,
}

impl ExchangeTimings {
    /// `stability_window` is the time after a crash within which all gateways have to know of it.
    pub fn new(stability_window: Duration) -> Self {
        Self { stability_window }
    }

    /// Time for which crashes are collected before they are written.
    pub fn collect(&self, is_repeated: bool) -> Duration {
        match is_repeated {
            true => REPEATED_COLLECT,
            false => self.part(COLLECT_FRACTION),
        }
    }

    /// Least time between two writes.
    pub fn write_interval(&self, is_repeated: bool) -> Duration {
        self.part(match is_repeated {
            true => REPEATED_WRITE_FRACTION,
            false => SINGLE_WRITE_FRACTION,
        })
    }

    /// Pause after a read that returned records.
    pub fn read_pause(&self) -> Duration {
        self.part(READ_PAUSE_FRACTION)
    }

    /// Delay of the first check of a long poll.
    pub fn first_check(&self) -> Duration {
        self.part(FIRST_CHECK_FRACTION)
    }

    /// Time between two checks while a request is suspected.
    pub fn check_interval(&self) -> Duration {
        self.part(CHECK_INTERVAL_FRACTION)
    }

    fn part(&self, fraction: f64) -> Duration {
        self.stability_window.mul_f64(fraction)
    }
}
