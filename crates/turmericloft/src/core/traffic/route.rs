//! One route: which requests it takes, and how they are served.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::RouteKind;

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its share, against the weights of the route's other destinations.
    pub weight: u32,
}

/// Requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, unique in its document.
    pub name: Arc<str>,
    /// Host that requests name, in lower case and without a port.
    pub host: Arc<str>,
    /// Prefix of their paths; it begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time from the arrival of a request to its answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank under load; 0 goes first.
    pub rank: u32,
    /// Endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Services that share the requests; never empty.
    pub destinations: Vec<Destination>,
}
