//! When a rejected client should come back.
//!
//! Load pattern: a burst fills all endpoints, many requests are rejected within a moment, and their
//! clients return as they are told. If all were told the same time, they would meet again. A client
//! that can still get its response in time returns when the next slots become free; one that cannot
//! leaves these to others and returns later.

use std::time::Duration;

/// Shortest time after which a rejected client is told to return.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Range of the delay of a client that can still be served in time, in service times.
const IN_TIME_RANGE: (f64, f64) = (0.5, 1.5);
/// Range of the delay of a client that cannot, in service times.
const LATE_RANGE: (f64, f64) = (1.0, 4.0);

/// Time after which a rejected client should return. `service_time` is the mean one of the service,
/// `time_to_target` the time left within which a response meets the target latency, and `random` a
/// number from 0 to 1.
pub fn retry_after(service_time: Duration, time_to_target: Duration, random: f64) -> Duration {
    let in_time = service_time.mul_f64(1.0 + IN_TIME_RANGE.1);
    let (min, max) = if time_to_target >= in_time {
        IN_TIME_RANGE
    } else {
        LATE_RANGE
    };
    service_time
        .mul_f64(min + (max - min) * random)
        .max(MIN_DELAY)
}
