//! Rejections of calls.

use std::time::Duration;

use strum::{Display, EnumIter, IntoStaticStr};

/// Reason for which a call is rejected before it is sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RejectReason {
    /// The caller exceeds the request rate of its contract.
    RateLimit,
    /// The caller has reached the limit of requests in flight of its contract.
    InFlightLimit,
    /// The call is not expected to complete by its deadline, or its deadline passed in the queue.
    Deadline,
    /// The queue is full, and the caller has the highest queued cost relative to its weight.
    QueueFull,
    /// All endpoints of the service are draining, or it has none.
    NoEndpoint,
}

/// Final result of a call that was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Reason of the rejection.
    pub reason: RejectReason,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

impl RejectReason {
    /// Explanation for the caller; part of the response body.
    pub fn detail(self) -> &'static str {
        match self {
            Self::RateLimit => "the caller sends more requests a second than its contract allows",
            Self::InFlightLimit => {
                "the caller has as many requests in flight as its contract allows"
            }
            Self::Deadline => "the request could not be answered by its deadline",
            Self::QueueFull => "the queue is full and the caller waits with more than its share",
            Self::NoEndpoint => "no endpoint of the service takes new requests",
        }
    }
}
