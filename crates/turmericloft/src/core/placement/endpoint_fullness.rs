//! Whether an endpoint may have no room for one more request.
//!
//! Load pattern: a full endpoint never responds to a request that it cannot queue, nor to any further one on that
//! connection, and several gateways may send at the same time. Load reports have its slots and what waits, but not
//! how much it can queue. A request without a response, while requests that came later or run beside it are served,
//! therefore shows a full endpoint and not a crashed one.

use std::time::{Duration, Instant};

use super::{LoadReport, received_report::REPORT_TIME_CONSTANT};

/// Requests beyond the slots up to which an endpoint gets further ones: every endpoint queues at least one.
const MAX_BEYOND_SLOTS: u32 = 1;
/// Time for which an endpoint counts as full after a request had no response.
const FULL_FOR: Duration = Duration::from_secs(1);

// A report from before the silence has lost its weight when the endpoint counts as full no longer.
const _: () = assert!(FULL_FOR.as_millis() >= 2 * REPORT_TIME_CONSTANT.as_millis());

/// What this gateway knows of the room of one endpoint beyond its load reports.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EndpointFullness {
    /// When a request of this gateway last got a response.
    last_served_at: Option<Instant>,
    full_until: Option<Instant>,
}

impl EndpointFullness {
    /// Records that the endpoint responded to a request. Responses to health checks don't count, as an endpoint may
    /// respond to these alone.
    pub(super) fn record_served(&mut self, now: Instant) {
        self.last_served_at = Some(now);
    }

    /// Records that a request sent at `sent_at` got no response. Returns whether the endpoint counts as full, because
    /// it served others meanwhile.
    pub(super) fn record_silence(&mut self, now: Instant, sent_at: Instant) -> bool {
        let is_full = self.last_served_at.is_some_and(|at| at >= sent_at);
        if is_full {
            self.full_until = Some(now + FULL_FOR);
        }
        is_full
    }

    /// Records a load report. One with a free slot ends the state.
    pub(super) fn record_report(&mut self, load: &LoadReport) {
        if load.requests() < load.slots {
            self.full_until = None;
        }
    }

    /// Whether the endpoint counts as full because a request got no response.
    pub(super) fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| until > now)
    }
}

/// Whether one more request may be one too many at an endpoint with `slots`. `own_in_flight` requests of this gateway
/// are there, and `others` of other gateways as last reported.
pub(super) fn may_overflow(slots: u32, own_in_flight: u32, others: u32) -> bool {
    let requests = own_in_flight.saturating_add(others);
    requests >= slots.max(1).saturating_add(MAX_BEYOND_SLOTS)
}
