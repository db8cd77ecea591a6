//! Intervals of the reads that show whether the document is the newest one.

use std::time::Duration;

/// First check of a long poll for the document, as a fraction of the config deadline: a poll that begins
/// while a record is being added may miss it.
const FIRST_CHECK_FRACTION: f64 = 0.25;
/// Longest time between two checks, as a fraction of the config deadline.
const CHECK_INTERVAL_FRACTION: f64 = 0.6;
/// Age at which the document of a gateway is stale, as a fraction of the config deadline.
const STALE_FRACTION: f64 = 0.68;
/// Addition to `STALE_FRACTION` per relay hop, so that the gateway next to the reader becomes stale and
/// reads first, and the others receive the result from it.
const STALE_FRACTION_PER_HOP: f64 = 0.04;
/// Number of relay hops beyond which the age no longer grows.
const MAX_STALE_HOPS: u32 = 3;
/// Time without a response after which a read is repeated on a new connection, as a fraction of the config
/// deadline.
const PATIENCE_FRACTION: f64 = 0.1;
/// Time for a successful read on a busy host, as a fraction of the config deadline.
const READ_FRACTION: f64 = 0.1;
/// Time that a gateway which was told of a newer document waits for it to be relayed, as a fraction of the config
/// deadline.
const RELAY_GRACE_FRACTION: f64 = 0.1;

/// Age at which the document of any gateway is stale, as a fraction of the config deadline.
const MAX_STALE_FRACTION: f64 = STALE_FRACTION + STALE_FRACTION_PER_HOP * MAX_STALE_HOPS as f64;

// A gateway that nobody confirms a document to reads it within the deadline, also if its connection is silent.
const _: () = assert!(MAX_STALE_FRACTION + PATIENCE_FRACTION + READ_FRACTION <= 1.0);
// While checks succeed no follower's document is stale.
const _: () = assert!(CHECK_INTERVAL_FRACTION < STALE_FRACTION);

/// Intervals of reads and confirmations of the document, all in proportion to the config deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DocumentTimings {
    config_deadline: Duration,
}

impl DocumentTimings {
    /// `config_deadline` is the time after its acknowledgement within which a document has to be active
    /// at every gateway.
    pub fn new(config_deadline: Duration) -> Self {
        Self { config_deadline }
    }

    /// Delay of the first check of a long poll.
    pub fn first_check(&self) -> Duration {
        self.part(FIRST_CHECK_FRACTION)
    }

    /// Longest time between two checks of a long poll.
    pub fn check_interval(&self) -> Duration {
        self.part(CHECK_INTERVAL_FRACTION)
    }

    /// Age at which a document that was confirmed over `hops` hops is stale.
    pub fn stale_after(&self, hops: u32) -> Duration {
        let hops = f64::from(hops.min(MAX_STALE_HOPS));
        self.part(STALE_FRACTION + STALE_FRACTION_PER_HOP * hops)
    }

    /// Time without a response after which a read is repeated on a new connection.
    pub fn patience(&self) -> Duration {
        self.part(PATIENCE_FRACTION)
    }

    /// Time to wait for a newer document from an upstream that told of it, before it is read from the store.
    pub fn relay_grace(&self) -> Duration {
        self.part(RELAY_GRACE_FRACTION)
    }

    fn part(&self, fraction: f64) -> Duration {
        self.config_deadline.mul_f64(fraction)
    }
}
