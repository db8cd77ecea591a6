//! How often the registry is read, and when a follower reads it by itself.

use std::time::Duration;

/// Share of the time for leaving endpoints that passes between two reads by one gateway.
const READ_SHARE: f64 = 0.35;
/// Share of it after which a follower that heard nothing new reads by itself. What is left of it
/// bears a read that fails and one more.
const STALE_SHARE: f64 = 0.6;
/// Share of it that each gateway in between adds, so that the one next to the reader reads first
/// and the others hear of it.
const HOP_SHARE: f64 = 0.06;
/// Gateways in between beyond which nothing is added.
const MAX_HOPS: u32 = 3;
/// Share of it after which a question is answered without news, as a sign of life.
const IDLE_ANSWER_SHARE: f64 = 0.45;
/// Share of it without an answer after which another gateway is followed.
const SILENT_SHARE: f64 = 0.65;
/// Share of it for which a gateway that is stale, or has just started, waits for a read to mend that
/// before it tells followers.
const READ_GRACE_SHARE: f64 = 0.05;

/// Times of reading and following, all in proportion to one bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayTimings {
    leaving_time: Duration,
}

impl RelayTimings {
    /// An endpoint that leaves has to be known everywhere within `leaving_time`.
    pub fn new(leaving_time: Duration) -> Self {
        Self { leaving_time }
    }

    /// Pause between the begins of two reads of the registry by one gateway.
    pub fn read_interval(&self) -> Duration {
        self.leaving_time.mul_f64(READ_SHARE)
    }

    /// Age at which knowledge that came over `hops` gateways is too old to rely on.
    pub fn stale_after(&self, hops: u32) -> Duration {
        let hops = f64::from(hops.min(MAX_HOPS));
        self.leaving_time.mul_f64(STALE_SHARE + HOP_SHARE * hops)
    }

    /// Time after which a question is answered even without news.
    pub fn idle_response_after(&self) -> Duration {
        self.leaving_time.mul_f64(IDLE_ANSWER_SHARE)
    }

    /// Time without an answer after which a followed gateway is given up.
    pub fn response_timeout(&self) -> Duration {
        self.leaving_time.mul_f64(SILENT_SHARE)
    }

    /// Time that a read of the registry may take before followers are told that there is no news.
    pub fn read_grace(&self) -> Duration {
        self.leaving_time.mul_f64(READ_GRACE_SHARE)
    }
}
