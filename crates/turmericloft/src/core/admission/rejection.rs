//! Calls that are turned away.

use std::time::Duration;

use strum::{Display, EnumIter, IntoStaticStr};

/// Why a call is turned away before anything is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RejectReason {
    /// The caller sends more requests a second than its contract allows.
    RateLimit,
    /// The caller has as many requests in flight as its contract allows.
    InFlightLimit,
    /// The call could not be answered by its deadline.
    Deadline,
    /// The queue is full and the caller waits with more than its share.
    QueueFull,
    /// No endpoint takes new requests.
    NoEndpoint,
}

/// A final answer to a call that was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// Time after which a new try makes sense.
    pub retry_after: Duration,
}

impl RejectReason {
    /// The reason as the caller is told it.
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
