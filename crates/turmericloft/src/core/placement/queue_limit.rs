//! How many requests may wait for capacity at one gateway.
//!
//! Load pattern: hundreds of gateways share the endpoints of a service, and all of them have waiting
//! requests in a burst. A gateway sees only its own queue, but the slots that become free serve the
//! queues of all. A request behind more waiting ones than its gateway's share of these slots would
//! wait in vain, and is rejected at once. Clients are not spread evenly: a gateway whose requests
//! already have more slots than an equal share gets as many again as they end.

use std::time::Duration;

/// Longest queue, for a gateway with few others.
const MAX_QUEUED: usize = 6;

/// What one gateway can expect of the slots of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotShare {
    /// All slots of the service.
    pub slots: u32,
    /// Gateways that share them.
    pub gateways: usize,
    /// Requests of this gateway that are at endpoints of the service.
    pub own_in_flight: u32,
}

impl SlotShare {
    /// Slots that this gateway's requests use at a time.
    fn slots_of_one(self) -> f64 {
        let equal = f64::from(self.slots) / self.gateways.max(1) as f64;
        equal.max(f64::from(self.own_in_flight))
    }
}

/// Longest useful queue of one gateway. A request waits no longer than `max_wait`, and a slot is used
/// for `service_time`.
pub fn queue_limit(share: SlotShare, max_wait: Duration, service_time: Duration) -> usize {
    let freed_per_slot = max_wait.as_secs_f64() / service_time.as_secs_f64().max(0.001);
    let freed = share.slots_of_one() * freed_per_slot;
    // At least one request waits, as this is an estimate.
    (freed.ceil() as usize).clamp(1, MAX_QUEUED)
}
