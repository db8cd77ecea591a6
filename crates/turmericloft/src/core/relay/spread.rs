//! Spread of calls that all gateways make after the same event.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash, which differs from those of the other uses of a host's name.
const SEED: u64 = 2;

/// Delay below `period` that is constant for a host and evenly spread over the hosts, so that
/// hundreds of gateways that learn of the same event do not call the store together.
pub fn delay_of_host(host: &str, period: Duration) -> Duration {
    let hash = xxh3_64_with_seed(host.as_bytes(), SEED);
    period.mul_f64(hash as f64 / u64::MAX as f64)
}
