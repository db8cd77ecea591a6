//! Read interval of the registry and staleness bounds of relayed data.

use std::time::Duration;

use super::{DocumentTimings, RecoveryTimings, RelayBounds};

/// Time between the starts of two reads by one gateway, as a fraction of the drain time.
const READ_INTERVAL_FRACTION: f64 = 0.35;
/// Age at which a gateway's data is stale, as a fraction of the drain time. The remainder leaves
/// time for one failed read and a retry.
const STALE_FRACTION: f64 = 0.6;
/// Addition to `STALE_FRACTION` per relay hop, so that the gateway next to the reader becomes
/// stale and reads first, and the others receive the result from it.
const STALE_FRACTION_PER_HOP: f64 = 0.06;
/// Number of relay hops beyond which the staleness bound no longer grows.
const MAX_STALE_HOPS: u32 = 3;
/// Time after which a poll is answered without changes as a heartbeat, as a fraction of the drain
/// time.
const IDLE_RESPONSE_FRACTION: f64 = 0.45;
/// Time without a response after which a follower selects another upstream, as a fraction of the
/// drain time.
const RESPONSE_TIMEOUT_FRACTION: f64 = 0.65;
/// Time that a gateway which is stale or has just started waits for its own read before it
/// responds that it is not current, as a fraction of the drain time.
const READ_GRACE_FRACTION: f64 = 0.05;

/// Time that a page of records may occupy the host's link, as a fraction of the config deadline.
const PAGE_FRACTION: f64 = 0.1;
/// Sizes of a page, in bytes.
const MIN_PAGE_BYTES: u64 = 16 << 10;
const MAX_PAGE_BYTES: u64 = 1 << 20;

/// Intervals and timeouts of the relay, all in proportion to the bounds of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayTimings {
    bounds: RelayBounds,
}

impl RelayTimings {
    /// Timings that keep `bounds`.
    pub fn new(bounds: RelayBounds) -> Self {
        Self { bounds }
    }

    /// Timeouts and delays of reads while the registry does not respond.
    pub fn recovery(&self) -> RecoveryTimings {
        RecoveryTimings::new(self.bounds.stability_window)
    }

    /// Intervals of reads and confirmations of the document.
    pub fn document(&self) -> DocumentTimings {
        DocumentTimings::new(self.bounds.config_deadline)
    }

    /// Time between the starts of two reads of the registry by one gateway.
    pub fn read_interval(&self) -> Duration {
        self.of_drain_time(READ_INTERVAL_FRACTION)
    }

    /// Age at which data that was relayed over `hops` hops is stale.
    pub fn stale_after(&self, hops: u32) -> Duration {
        let hops = f64::from(hops.min(MAX_STALE_HOPS));
        self.of_drain_time(STALE_FRACTION + STALE_FRACTION_PER_HOP * hops)
    }

    /// Time after which an upstream answers a poll even without changes.
    pub fn idle_response_after(&self) -> Duration {
        self.of_drain_time(IDLE_RESPONSE_FRACTION)
    }

    /// Time without a response after which a follower gives up its upstream.
    pub fn response_timeout(&self) -> Duration {
        self.of_drain_time(RESPONSE_TIMEOUT_FRACTION)
    }

    /// Time granted to a read of the registry before followers are told that there are no changes.
    pub fn read_grace(&self) -> Duration {
        self.of_drain_time(READ_GRACE_FRACTION)
    }

    /// Size of a page of records that the host's link carries in a part of the config deadline, in bytes.
    pub fn page_bytes(&self) -> u64 {
        let time = self.bounds.config_deadline.mul_f64(PAGE_FRACTION);
        let bytes = self.bounds.link_bytes_per_second as f64 * time.as_secs_f64();
        (bytes as u64).clamp(MIN_PAGE_BYTES, MAX_PAGE_BYTES)
    }

    fn of_drain_time(&self, fraction: f64) -> Duration {
        self.bounds.drain_time.mul_f64(fraction)
    }
}
