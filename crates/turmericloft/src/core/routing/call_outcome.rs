//! Outcome of one attempt at an endpoint.

use std::time::Instant;

use super::{EndpointId, LoadReport};

/// Outcome of one attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The endpoint executed the call and responded without a server error.
    Succeeded,
    /// The endpoint responded with a server error.
    Failed,
    /// The endpoint shed the call: it responded that it did not start it.
    Shed,
    /// The connection could not be established, or it broke before the response.
    Unreachable,
    /// The gateway stopped waiting for the response: another attempt responded first, the deadline
    /// passed, or the caller disconnected.
    Cancelled,
}

/// A finished attempt, with what the endpoint reported about itself in the response.
#[derive(Clone, Copy, Debug)]
pub struct FinishedCall {
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// When the attempt was sent.
    pub started: Instant,
    /// Outcome of the attempt.
    pub outcome: CallOutcome,
    /// Load report of the response; `None` if there was no response or no valid report in it.
    pub load: Option<LoadReport>,
    /// Whether the response says that the endpoint is draining.
    pub is_draining: bool,
}
