//! Waits between the return of a registry that did not respond and the first read that succeeds.
//!
//! Load pattern: the registry is unavailable to hundreds of gateways for seconds. If every gateway
//! tried again several times a second, they would make thousands of calls for the one that finds it
//! available. The gateways that nobody precedes try often and relay what they get; the others try
//! seldom, in case the registry is available to them alone. A gateway that has just read the registry
//! by itself may have followers, and goes on trying often.
//!
//! A read that begins just before the return is lost. So a gateway that nobody relays to waits for its
//! next read, and then reads the endpoints and the document one after the other. All of it has to fit
//! into the stability window, so each part is a fraction of it.

use std::time::{Duration, Instant};

use crate::core::quarantine::ExchangeTimings;

/// Timeout of one read, as a fraction of the stability window.
const CALL_TIMEOUT_FRACTION: f64 = 0.5;
/// Timeout of one read with a long stability window: a lost response is noticed after it.
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for opening a connection, as a fraction of the stability window. It is part of the call's.
const CONNECT_TIMEOUT_FRACTION: f64 = 0.1;
/// Time without a response on a kept connection after which a read of the endpoints is repeated on a new one, as
/// a fraction of the stability window. A connection that was cut stays silent.
const PATIENCE_FRACTION: f64 = 0.1;
/// Time from the end of a failed read to the next one of a gateway that relies on no other, as a fraction of the stability window. The longer it
/// is, the shorter entries that have vanished are retained.
const LONE_DELAY_FRACTION: f64 = 0.08;
/// Time from the start of a failed read to the next one of a gateway that relies on one which precedes
/// it, as a fraction of the stability window.
const FOLLOWER_PERIOD_FRACTION: f64 = 0.85;
/// Time that a gateway with fresh relayed endpoints waits for its upstream to confirm the document too, as a
/// fraction of the stability window.
const RELAY_GRACE_FRACTION: f64 = 0.04;
/// Time after a failed read until which removed entries are retained at most, as a fraction of the stability window. The
/// remainder is for requests on their way.
const RETENTION_LIMIT_FRACTION: f64 = 0.9;
/// Time for two successful reads on a busy host, as a fraction of the stability window.
const READS_FRACTION: f64 = 0.11;

const _: () = assert!(FOLLOWER_PERIOD_FRACTION + RELAY_GRACE_FRACTION + READS_FRACTION <= 1.0);
const _: () = assert!(
    PATIENCE_FRACTION + CALL_TIMEOUT_FRACTION + LONE_DELAY_FRACTION < FOLLOWER_PERIOD_FRACTION
);
const _: () = assert!(RETENTION_LIMIT_FRACTION < 1.0);
const _: () = assert!(CONNECT_TIMEOUT_FRACTION < CALL_TIMEOUT_FRACTION);

/// Timeouts and delays of reads of the registry, all in proportion to the stability window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryTimings {
    stability_window: Duration,
}

impl RecoveryTimings {
    /// `stability_window` is the time after the registry's return within which every gateway that
    /// reaches it has to be up to date.
    pub fn new(stability_window: Duration) -> Self {
        Self { stability_window }
    }

    /// Intervals of the exchange of crashes, which has to fit into the stability window too.
    pub fn crash_exchange(&self) -> ExchangeTimings {
        ExchangeTimings::new(self.stability_window)
    }

    /// Timeout of a call to the registry, with the time for opening a connection.
    pub fn call_timeout(&self) -> Duration {
        self.part(CALL_TIMEOUT_FRACTION).min(MAX_CALL_TIMEOUT)
    }

    /// Time without a response on a kept connection after which a read of the endpoints is repeated on a new one.
    pub fn patience(&self) -> Duration {
        self.part(PATIENCE_FRACTION)
    }

    /// Timeout for opening a connection to the registry.
    pub fn connect_timeout(&self) -> Duration {
        self.part(CONNECT_TIMEOUT_FRACTION)
    }

    /// Time from the start of a failed read to the next one of a gateway that relies on another.
    pub fn follower_period(&self) -> Duration {
        self.part(FOLLOWER_PERIOD_FRACTION)
    }

    /// Time that a gateway with fresh relayed endpoints waits for its upstream to confirm the document.
    pub fn relay_grace(&self) -> Duration {
        self.part(RELAY_GRACE_FRACTION)
    }

    /// Time from the start of a failed read until which removed entries are retained at most. The registry returned after
    /// that start, and an endpoint that has left gets no request once the stability window is over.
    pub fn retention_limit(&self) -> Duration {
        self.part(RETENTION_LIMIT_FRACTION)
    }

    /// Time from the end of a failed read to the next one of a gateway that relies on no other.
    pub fn lone_delay(&self) -> Duration {
        self.part(LONE_DELAY_FRACTION)
    }

    /// When a read that started at `started` and has failed `now` is repeated. `relies_on_upstream` says
    /// whether a gateway that precedes this one responds, even with old data, and this one has no fresh
    /// data. Its reads are a period apart however fast they fail.
    pub fn next_read(&self, now: Instant, started: Instant, relies_on_upstream: bool) -> Instant {
        let soon = now + self.lone_delay();
        if relies_on_upstream {
            soon.max(started + self.follower_period())
        } else {
            soon
        }
    }

    fn part(&self, fraction: f64) -> Duration {
        self.stability_window.mul_f64(fraction)
    }
}
