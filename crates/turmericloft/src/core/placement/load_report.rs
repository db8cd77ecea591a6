//! Load that an endpoint reports in a response header.

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
