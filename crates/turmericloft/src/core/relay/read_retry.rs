//! Pace of repeated reads of a registry that does not respond.
//!
//! Load pattern: the registry is unavailable to hundreds of gateways for seconds. If every gateway
//! tried again several times a second, they would make thousands of calls for the one that finds it
//! available. The gateways that nobody precedes try often and relay what they get; the others try
//! seldom, in case the registry is available to them alone. A gateway that has just read the registry
//! by itself may have followers, and goes on trying often.

use std::time::Duration;

/// Delay of a gateway that relies on no other. Entries that vanished are retained from the first
/// successful read on, so a late one keeps endpoints that have left.
const LONE_DELAY: Duration = Duration::from_millis(250);
/// Delay of a gateway that relies on one which precedes it. Shorter than the time within which a
/// gateway that was cut off has to be up to date again.
const FOLLOWER_DELAY: Duration = Duration::from_millis(2_500);

/// Delay between the end of a failed read and the next one. `relies_on_upstream` says whether a
/// gateway that precedes this one responds, even with old data, and this one has no fresh data.
pub fn read_retry_delay(relies_on_upstream: bool) -> Duration {
    if relies_on_upstream {
        FOLLOWER_DELAY
    } else {
        LONE_DELAY
    }
}
