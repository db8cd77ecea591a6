//! Requirements of a request for the endpoint that it is sent to.

use std::time::Duration;

use super::{InstanceId, WaitRank};

/// A request for which an endpoint is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Endpoints of earlier attempts, which are not chosen again.
    pub tried: &'a [InstanceId],
    /// Target latency of the route, from which the prior of the service time is derived.
    pub target_latency: Duration,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Priority rank of the route under load; 0 is the most urgent.
    pub rank: u32,
    /// Priority rank of the organisation, which goes before that of the route in the queue; 0 is the most urgent.
    pub organisation_rank: u32,
    /// Whether the endpoint must have spare capacity beyond this request.
    pub needs_spare_capacity: bool,
    /// Bytes that the request and its response are expected to move.
    pub transfer_bytes: u64,
    /// Largest expected latency of the endpoint.
    pub max_latency: Duration,
}

impl PlacementRequest<'_> {
    /// Rank with which the request waits.
    pub fn wait_rank(&self) -> WaitRank {
        WaitRank {
            organisation: self.organisation_rank,
            route: self.rank,
        }
    }
}
