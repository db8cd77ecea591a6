//! Requests that are not sent.

use std::time::Duration;

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The service has no endpoint that takes requests.
    NoEndpoint {
        /// When one may be there.
        retry_after: Duration,
    },
    /// All endpoints are full, or too slow for the time left.
    NoCapacity {
        /// When room is likely.
        retry_after: Duration,
    },
}
