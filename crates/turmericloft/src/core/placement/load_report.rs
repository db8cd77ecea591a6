//! Load that an endpoint reports in a response header.

#![deny(clippy::arithmetic_side_effects)] // Other parties write the values here.

/// Most requests or slots that a report counts, so that one odd report leaves the means of the service usable soon.
const MAX_REPORTED_REQUESTS: u32 = 65_535;
/// Largest slowdown that a report counts; endpoints beyond it are all too slow to be chosen.
const MAX_REPORTED_SLOWDOWN: f64 = 1_000.0;

/// Load of an endpoint when it sent a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that it is processing.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Current service time over the normal one, so 1 is normal speed; `None` if not reported.
    pub slowdown: Option<f64>,
}

impl LoadReport {
    /// The same report with values that an endpoint can have: larger ones count as the largest, and a slowdown that is
    /// no number greater than 0 as not reported.
    #[must_use]
    pub fn limited(self) -> Self {
        let slowdown = self.slowdown.filter(|s| s.is_finite() && *s > 0.0);
        Self {
            running: self.running.min(MAX_REPORTED_REQUESTS),
            waiting: self.waiting.min(MAX_REPORTED_REQUESTS),
            slots: self.slots.min(MAX_REPORTED_REQUESTS),
            slowdown: slowdown.map(|s| s.min(MAX_REPORTED_SLOWDOWN)),
        }
    }

    /// Requests that are at the endpoint.
    pub(super) fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
