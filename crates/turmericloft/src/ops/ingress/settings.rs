//! Settings of an ingress gateway.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::core::placement::RetryBudget;

/// What an ingress gateway has to know of the place it runs in.
#[derive(Clone, Debug)]
pub struct IngressSettings {
    /// Name of this host.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the balancer in front asks whether the gateway takes clients.
    pub ready_listen: SocketAddr,
    /// Where metrics are served, under `/metrics`.
    pub metrics_listen: Option<SocketAddr>,
    /// Path of that question.
    pub ready_path: &'static str,
    /// Time from the signal to stop until the process is killed.
    pub grace_period: Duration,
    /// Probes that an endpoint bears in a second from all gateways together, if that is bounded.
    pub max_endpoint_probe_rate: Option<f64>,
    /// Repeats that each service bears from this gateway.
    pub retry_budget: RetryBudget,
}
