//! The crashes of one endpoint, as far as they are in question.

use std::time::Instant;

use crate::core::placement::InstanceId;

/// The crashes of one endpoint that requests in the quarantine table have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectedCrash {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// When it is said to have crashed first.
    pub first_at: Instant,
    /// When it is said to have crashed last.
    pub last_at: Instant,
    /// Whether a request is in quarantine because of this endpoint, among others.
    pub is_decisive: bool,
}
