//! How many requests may wait for capacity at one gateway.
//!
//! Load pattern: hundreds of gateways share the endpoints of a service, and all of them have waiting
//! requests in a burst. A gateway sees only its own queue, but the slots that become free serve the
//! queues of all. A request behind more waiting ones than its gateway's share of these slots would
//! wait in vain, and is rejected at once.

use std::time::Duration;

/// Longest queue, for a gateway with few others.
const MAX_QUEUED: usize = 6;

/// Longest useful queue of one gateway. `slots` are all slots of the service, shared by `gateways`
/// gateways; a request waits no longer than `max_wait`, and a slot is used for `service_time`.
pub fn queue_limit(
    slots: u32,
    gateways: usize,
    max_wait: Duration,
    service_time: Duration,
) -> usize {
    let freed_per_slot = max_wait.as_secs_f64() / service_time.as_secs_f64().max(0.001);
    let share = f64::from(slots) * freed_per_slot / gateways.max(1) as f64;
    // At least one request waits: clients are not spread evenly over the gateways.
    (share.ceil() as usize).clamp(1, MAX_QUEUED)
}
