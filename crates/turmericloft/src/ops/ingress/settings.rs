//! Settings of an ingress gateway.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::core::{
    hedging::HedgeLimit, key_lease::KeyRules, memory::MemoryLimits, placement::RetryBudget,
    quota::QuotaBounds, slow_start::SlowStartBounds,
};

/// Settings of an ingress gateway that depend on the platform it runs on.
#[derive(Clone, Debug)]
pub struct IngressSettings {
    /// Name of this host.
    pub host: Arc<str>,
    /// Availability zone of this host.
    pub zone: Arc<str>,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address on which the load balancer in front checks whether the gateway accepts clients.
    pub ready_listen: SocketAddr,
    /// Address on which metrics are served under `/metrics`; `None` serves no metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Time from the stop signal until the process is killed.
    pub grace_period: Duration,
    /// Largest number of probes per second that an endpoint may get from all gateways together;
    /// `None` sets no limit.
    pub max_endpoint_probe_rate: Option<f64>,
    /// What is accepted at cold endpoints; `None` treats them like others.
    pub slow_start: Option<SlowStartBounds>,
    /// Memory for connections and messages together.
    pub memory: MemoryLimits,
    /// Most connections of clients and other gateways.
    pub max_connections: usize,
    /// Budget for the retries that this gateway sends, applied to each service separately.
    pub retry_budget: RetryBudget,
    /// Share of the requests that may be hedged; `None` leaves hedges to the retry budget alone.
    pub hedge_limit: Option<HedgeLimit>,
    /// Rules for the keys of organisations.
    pub key_rules: KeyRules,
    /// What is accepted of an organisation beyond its quota.
    pub quota_bounds: QuotaBounds,
}
