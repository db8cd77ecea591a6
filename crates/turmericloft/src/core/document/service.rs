//! Services that gateways forward requests to.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{Endpoint, Kind};
use crate::core::Name;

/// A service: its endpoints, kinds of request and limits.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, which is the first segment of a request's path.
    pub name: Name,
    /// Time within which callers need the response.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Maximum number of requests that wait in the queue of one gateway.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u64,
    /// Maximum number of extra calls (retries and hedges), in percent of all calls.
    #[serde(default = "default_extra_calls_percent")]
    pub extra_calls_percent: u32,
    /// Kinds of request, matched in this order.
    pub kinds: Vec<Kind>,
    /// Endpoints at which the service runs.
    pub endpoints: Vec<Endpoint>,
}

impl Service {
    /// The first kind that matches a request; `path` is what follows the service's name.
    pub fn kind(&self, method: &str, path: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.matches(method, path))
    }
}

fn default_queue() -> u32 {
    256
}

fn default_body_bytes() -> u64 {
    8 << 20
}

fn default_extra_calls_percent() -> u32 {
    5
}
