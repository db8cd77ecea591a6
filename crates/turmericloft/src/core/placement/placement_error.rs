//! Errors of placing a request.

use std::time::Duration;

/// Why no endpoint was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The service has no endpoint that accepts requests and was not tried.
    NoEndpoint {
        /// Time after which an endpoint may have registered, or accepts requests again.
        retry_after: Duration,
    },
    /// All endpoints that accept requests have limits, and this gateway's shares of them are used up.
    Limited {
        /// Time after which one of them is likely to accept a request.
        retry_after: Duration,
    },
    /// All endpoints are full, or too slow for the request's limits.
    NoCapacity {
        /// Time after which a slot is likely to be free.
        retry_after: Duration,
    },
    /// No endpoint, however idle, is expected to respond before the deadline.
    TooLate,
}
