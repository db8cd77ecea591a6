//! What a request asks of the endpoint that it is sent to.

use std::time::Duration;

use super::InstanceId;

/// A request that looks for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Endpoints that it was sent to before.
    pub tried: &'a [InstanceId],
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Rank under load; 0 goes first.
    pub rank: u32,
    /// Whether only an endpoint with room to spare is wanted.
    pub needs_spare_capacity: bool,
    /// Time within which the answer has to be expected.
    pub max_latency: Duration,
}
