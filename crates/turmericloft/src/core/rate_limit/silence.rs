//! Who checks whether a limit is over when nobody says so.
//!
//! Load pattern: a limit ends, and the gateways with a share of it have been restarted or are gone. The others
//! know of the limit and send nothing, so they would not notice. After a time without news each of them claims the
//! check in a log that all of them read; whose claim is the first one in the log makes it.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time without news of a limit after which gateways begin to claim the check.
const SILENCE: Duration = Duration::from_secs(40);
/// Shortest time over which the claims of all gateways spread.
const MIN_SPREAD: Duration = Duration::from_secs(10);
/// Part of the spread for each gateway, so that the first claim is read before most others are made.
const SPREAD_OF_ONE: Duration = Duration::from_secs(1);
/// Time after a claim within which no other one is followed: longer than the window in which an endpoint
/// counts, with the time until the check arrives.
const EXCLUSION: Duration = Duration::from_secs(10);
/// Age up to which a gateway follows its own claim.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(2);
/// Seed of the hash that spreads the claims.
const SPREAD_SEED: u64 = 4;

const _: () = assert!(
    EXCLUSION.as_millis()
        >= super::fleet_quota::SHARE_INTERVAL.as_millis() + MAX_CLAIM_AGE.as_millis()
);

/// What one gateway knows of the claims to check one limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilenceClaim {
    /// When there was news of the limit, or a claim, last.
    news_at: Instant,
    /// Whether that news may be older than the end of the limit.
    is_in_doubt: bool,
    /// When this gateway began to write its claim.
    claimed_at: Option<Instant>,
    /// When the claim of another gateway was last read.
    other_claim_at: Option<Instant>,
}

impl SilenceClaim {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            news_at: now,
            is_in_doubt: false,
            claimed_at: None,
            other_claim_at: None,
        }
    }

    pub(super) fn record_news(&mut self, now: Instant) {
        self.news_at = now;
        self.is_in_doubt = false;
    }

    /// Records that the limit may be over already, so that the check is claimed without waiting for news.
    pub(super) fn record_doubt(&mut self, now: Instant) {
        self.news_at = now;
        self.is_in_doubt = true;
    }

    /// When the gateway on `host`, one of `gateways`, claims the check of `endpoint`.
    pub(super) fn due(&self, endpoint: &str, host: &str, gateways: usize) -> Instant {
        let (silence, spread) = match self.is_in_doubt {
            // Few gateways are in doubt at once.
            true => (Duration::ZERO, MIN_SPREAD),
            false => (SILENCE, (SPREAD_OF_ONE * gateways as u32).max(MIN_SPREAD)),
        };
        let seed = xxh3_64_with_seed(endpoint.as_bytes(), SPREAD_SEED);
        let hash = xxh3_64_with_seed(host.as_bytes(), seed);
        self.news_at + silence + spread.mul_f64(hash as f64 / u64::MAX as f64)
    }

    /// Records that this gateway begins to write its claim.
    pub(super) fn record_claim(&mut self, now: Instant) {
        self.claimed_at = Some(now);
        self.record_news(now);
    }

    /// Records a claim that was read from the log, in its order. Returns whether this gateway makes the check.
    pub(super) fn read_claim(&mut self, now: Instant, is_own: bool) -> bool {
        self.record_news(now);
        if !is_own {
            self.other_claim_at = Some(now);
            return false;
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_recent = self
            .claimed_at
            .take()
            .is_some_and(|at| age(at) <= MAX_CLAIM_AGE);
        let is_excluded = self.other_claim_at.is_some_and(|at| age(at) < EXCLUSION);
        is_recent && !is_excluded
    }
}
