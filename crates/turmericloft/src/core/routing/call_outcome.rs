//! How one call to an endpoint ended.

use std::time::Instant;

use super::{EndpointId, LoadReport};

/// How one call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The endpoint ran the call and answered.
    Succeeded,
    /// The endpoint answered with a server error.
    Failed,
    /// The endpoint turned the call away without starting it.
    Shed,
    /// No connection could be made, or the connection broke.
    Unreachable,
    /// The gateway gave up on the answer: a lost hedge, or a caller that left.
    Cancelled,
}

/// One ended call, with what the endpoint said about itself.
#[derive(Clone, Copy, Debug)]
pub struct FinishedCall {
    /// Endpoint called.
    pub endpoint: EndpointId,
    /// When the call was sent.
    pub started: Instant,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Load report on the answer.
    pub load: Option<LoadReport>,
    /// Whether the endpoint says that it is leaving.
    pub is_draining: bool,
}
