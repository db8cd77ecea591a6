//! Asking an endpoint for its load.

use std::sync::Arc;

use super::{DiscoveredEndpoint, LoadReport};

/// An endpoint that is asked for its load.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The endpoint.
    pub endpoint: Arc<DiscoveredEndpoint>,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeOutcome {
    /// The endpoint told its load.
    Reported(LoadReport),
    /// The endpoint answered without telling its load.
    NoReport,
    /// No answer came.
    NoResponse,
}
