//! The present time, read at the edges only.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// A moment on both clocks.
struct Start {
    monotonic: Instant,
    unix_ms: u64,
}

/// Milliseconds since the Unix epoch. The wall clock is read once in a process and the monotonic
/// clock from then on, so that a step of the wall clock cannot make time go back.
pub fn unix_ms() -> u64 {
    static START: OnceLock<Start> = OnceLock::new();
    let start = START.get_or_init(|| Start {
        monotonic: Instant::now(),
        unix_ms: wall_ms(),
    });
    start.unix_ms + start.monotonic.elapsed().as_millis() as u64
}

fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_millis() as u64
}
