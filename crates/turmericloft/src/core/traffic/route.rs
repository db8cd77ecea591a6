//! A route: the requests that it matches, and how they are served.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::RouteKind;

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other destinations; 0 receives no requests.
    pub weight: u32,
}

/// Rules for the requests to one host with one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, unique in its document.
    pub name: Arc<str>,
    /// Host in the request, in lower case and without a port.
    pub host: Arc<str>,
    /// Prefix of the request path. It begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests may be retried.
    pub kind: RouteKind,
    /// Longest time from the arrival of a request to its response.
    pub timeout: Duration,
    /// Latency that responses should meet. It determines when requests are placed, queued and
    /// hedged.
    pub target_latency: Duration,
    /// Priority rank under load; 0 is the most urgent.
    pub rank: u32,
    /// Largest number of endpoints that one request is sent to, including the first.
    pub max_attempts: u32,
    /// Whether requests need no key of an organisation.
    pub is_public: bool,
    /// Services among which the requests are split; never empty.
    pub destinations: Vec<Destination>,
}
