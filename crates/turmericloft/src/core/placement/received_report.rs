//! A load report of one endpoint, and how much it still says.

use std::time::{Duration, Instant};

use super::LoadReport;

/// Time constant by which a load report loses weight: speed and queues change within this time.
pub(super) const REPORT_TIME_CONSTANT: Duration = Duration::from_millis(400);

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

    /// Whether the report still says more of the queue than the mean of the service.
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < REPORT_TIME_CONSTANT
    }
}

/// Weight of a report received at `at`, from 0 to 1.
pub(super) fn report_weight(now: Instant, at: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    (-age.as_secs_f64() / REPORT_TIME_CONSTANT.as_secs_f64()).exp()
}
