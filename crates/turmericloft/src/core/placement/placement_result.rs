//! Result of the choice of an endpoint.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::DiscoveredEndpoint;

/// The endpoint that a request is sent to.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Endpoint as discovery last described it.
    pub endpoint: Arc<DiscoveredEndpoint>,
    /// Expected time to the response, with queueing and slowdown.
    pub expected_latency: Duration,
    /// Mean service time of the service's requests at an endpoint that is not slowed down.
    pub service_time: Duration,
    /// Start of the attempt, which identifies it when it ends.
    pub started_at: Instant,
    /// Age of the endpoint's last load report; `None` without one.
    pub report_age: Option<Duration>,
    /// Slowdown in a recent load report of the endpoint.
    pub(super) reported_slowdown: Option<f64>,
    /// Whether the endpoint is congested with this request.
    pub(super) is_congested: bool,
}
