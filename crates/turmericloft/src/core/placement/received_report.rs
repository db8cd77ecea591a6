//! A load report of one endpoint, and how much it still says.

#![deny(clippy::arithmetic_side_effects)] // Other parties write the values here.

use std::time::{Duration, Instant};

use super::LoadReport;

/// Time constant by which a load report loses weight: speed and queues change within this time.
pub(super) const REPORT_TIME_CONSTANT: Duration = Duration::from_millis(400);
/// Slowdown below which an endpoint counts as running at its normal speed.
pub(super) const MAX_NORMAL_SLOWDOWN: f64 = 1.5;

#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedReport {
    pub(super) received_at: Instant,
    pub(super) load: LoadReport,
    /// Requests of this gateway in flight when the report was received.
    pub(super) own_in_flight: u32,
}

impl ReceivedReport {
    /// Requests of other gateways that the endpoint had.
    pub(super) fn other_requests(&self) -> u32 {
        self.load.requests().saturating_sub(self.own_in_flight)
    }

    /// Requests that the endpoint has if none of other gateways came or ended since. `own_in_flight` are those of this
    /// gateway now.
    pub(super) fn requests(&self, own_in_flight: u32) -> u32 {
        let sent_since = own_in_flight.saturating_sub(self.own_in_flight);
        self.load.requests().saturating_add(sent_since)
    }

    /// Whether the endpoint ran at its normal speed, which is assumed if it did not report its speed.
    pub(super) fn has_normal_speed(&self) -> bool {
        let slowdown = self.load.slowdown;
        slowdown.is_none_or(|s| s < MAX_NORMAL_SLOWDOWN)
    }

    /// Whether the report is younger than `age`.
    pub(super) fn is_younger(&self, now: Instant, age: Duration) -> bool {
        now.saturating_duration_since(self.received_at) < age
    }

    /// Whether the report still says more of the queue than the mean of the service.
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        self.is_younger(now, REPORT_TIME_CONSTANT)
    }
}

/// Weight of a report received at `at`, from 0 to 1.
pub(super) fn report_weight(now: Instant, at: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    (-age.as_secs_f64() / REPORT_TIME_CONSTANT.as_secs_f64()).exp()
}
