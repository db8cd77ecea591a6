//! Changes of what a gateway knows of the limit of an endpoint.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::RateLimit;

/// What has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LimitEvent {
    /// The endpoint has stated a limit for the first time, or again after one that ended.
    Started,
    /// The endpoint has stated another limit than before.
    Changed,
    /// Another gateway has asked for a loan, and said the limit.
    Learned,
    /// A response of the endpoint to this gateway states no limit any more.
    Ended,
    /// Another gateway says that the endpoint states no limit any more.
    EndedElsewhere,
}

/// A change of what a gateway knows of the limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// What has changed.
    pub event: LimitEvent,
    /// The limit that is known now, or that has ended.
    pub limit: RateLimit,
    /// Time since the limit was first stated to this gateway.
    pub known_for: Duration,
    /// Requests that this gateway may send in each interval.
    pub share: u32,
}
