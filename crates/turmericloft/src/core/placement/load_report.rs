//! Load that an endpoint reports on an answer.

/// What an endpoint said of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// How much longer work takes at present than usual; 1 is usual.
    pub slowdown: Option<f64>,
}
