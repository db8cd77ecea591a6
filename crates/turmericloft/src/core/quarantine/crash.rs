//! One crash with a request in flight.

use std::time::Instant;

use crate::core::placement::InstanceId;

/// An endpoint broke off a request without a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// When the request was sent to it.
    pub sent_at: Instant,
    /// When the connection ended.
    pub at: Instant,
}
