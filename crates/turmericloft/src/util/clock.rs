//! Wall-clock time. Only code that does input and output reads it; decisions take the present time
//! as an argument.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Readings of both clocks, taken together.
struct ClockOrigin {
    monotonic: Instant,
    unix_ms: u64,
}

/// Milliseconds since the Unix epoch. The wall clock is read once per process and the monotonic
/// clock from then on, so that an adjustment of the wall clock cannot make time go backwards.
pub fn unix_ms() -> u64 {
    static ORIGIN: OnceLock<ClockOrigin> = OnceLock::new();
    let origin = ORIGIN.get_or_init(|| ClockOrigin {
        monotonic: Instant::now(),
        unix_ms: wall_clock_ms(),
    });
    origin.unix_ms + origin.monotonic.elapsed().as_millis() as u64
}

fn wall_clock_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_millis() as u64
}
