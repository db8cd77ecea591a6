//! Bytes that a request moves between a gateway and an endpoint, and what they cost between availability zones.
//!
//! Load pattern: most requests move about a kilobyte, but the responses of some routes and the bodies of others
//! have 60 to 540 kB, and each byte between zones is charged. The body is known when a request is placed; the
//! response is expected to have the mean size of the latest responses of its route.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::core::decayed_mean::DecayedMean;

/// Half-life of the mean response size of a route.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Bytes up to which a request costs the same in each other zone: other delays matter more.
const SMALL_BYTES: u64 = 10_000;
/// Penalty for a small request in another zone, in multiples of the mean service time.
pub(super) const SMALL_ZONE_PENALTY: f64 = 0.3;
/// Largest penalty for another zone, in multiples of the mean service time. A large request takes an endpoint of
/// its zone that is up to this much slower.
const MAX_ZONE_PENALTY: f64 = 2.5;
/// Slowdown of an endpoint beside a noisy neighbour.
const NOISY_NEIGHBOUR_SLOWDOWN: f64 = 7.0;

// A large request leaves the zone rather than wait for an endpoint beside a noisy neighbour.
const _: () = assert!(1.0 + MAX_ZONE_PENALTY < NOISY_NEIGHBOUR_SLOWDOWN / 1.5);
// Penalties grow from that of small requests.
const _: () = assert!(SMALL_ZONE_PENALTY < MAX_ZONE_PENALTY);

/// Mean sizes of the responses of each route, as one gateway has seen them.
#[derive(Clone, Debug)]
pub struct ResponseSizes {
    epoch: Instant,
    by_route: HashMap<Arc<str>, DecayedMean>,
}

impl ResponseSizes {
    /// Knows no response. `epoch` is not after the first response.
    pub fn new(epoch: Instant) -> Self {
        Self {
            epoch,
            by_route: HashMap::new(),
        }
    }

    /// Records the size of a complete response of a route, in bytes.
    pub fn record(&mut self, now: Instant, route: &Arc<str>, bytes: usize) {
        let s = now.saturating_duration_since(self.epoch).as_secs_f64();
        let mean = self.by_route.entry(Arc::clone(route));
        let mean = mean.or_insert_with(|| DecayedMean::new(HALF_LIFE.as_secs_f64()));
        mean.add(s, bytes as f64);
    }

    /// Bytes that a request of a route with a body of `body_bytes` is expected to move. A response counts as empty
    /// until the route had one.
    pub fn expected_transfer(&self, route: &str, body_bytes: usize) -> u64 {
        let response = self.by_route.get(route).map_or(0.0, |m| m.mean_or(0.0));
        body_bytes as u64 + response as u64
    }

    /// Forgets the routes for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&Arc<str>) -> bool) {
        self.by_route.retain(|route, _| is_kept(route));
    }
}

/// Whether a request that moves this many bytes costs more in another zone than others.
pub(super) fn is_large(bytes: u64) -> bool {
    bytes > SMALL_BYTES
}

/// Penalty for an endpoint in another zone, in multiples of the mean service time, for a request that moves this
/// many bytes.
pub(super) fn zone_penalty(bytes: u64) -> f64 {
    let small_requests = bytes.max(SMALL_BYTES) as f64 / SMALL_BYTES as f64;
    (SMALL_ZONE_PENALTY * small_requests).min(MAX_ZONE_PENALTY)
}
