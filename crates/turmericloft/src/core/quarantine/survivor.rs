//! An endpoint that did not crash.

use std::time::Instant;

use crate::core::placement::InstanceId;

/// An endpoint that has not crashed within a span of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Survivor {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Since when its present incarnation is known. Nothing is known of crashes before that.
    pub since: Instant,
    /// When it was asked for what it has responded to.
    pub until: Instant,
}
