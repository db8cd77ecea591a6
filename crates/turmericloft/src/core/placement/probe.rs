//! Probes, which request a load report from an endpoint.

use std::sync::Arc;

use super::{DiscoveredEndpoint, LoadReport};

/// A probe that is to be sent.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Endpoint to send it to.
    pub endpoint: Arc<DiscoveredEndpoint>,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeOutcome {
    /// The response had a load report.
    Reported(LoadReport),
    /// The response had no load report.
    NoReport,
    /// No response came before the timeout, or the connection failed.
    NoResponse,
}
