//! How long a peer may take to receive a message.

use std::time::Duration;

/// Rate at which a peer has to receive at least, in bytes a second.
pub const MIN_TRANSFER_RATE: u64 = 16 << 10;

/// Time within which a peer has to receive `bytes`: `base`, and what they take at [`MIN_TRANSFER_RATE`].
pub fn transfer_timeout(base: Duration, bytes: usize) -> Duration {
    let at_min_rate = Duration::from_secs_f64(bytes as f64 / MIN_TRANSFER_RATE as f64);
    base.saturating_add(at_min_rate)
}
