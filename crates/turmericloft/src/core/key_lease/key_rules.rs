//! Rules of a deployment for keys.

use std::time::Duration;

use super::LeaseTimings;

/// How a gateway decides on keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRules {
    /// Times of the lease on keys; `None` if the keys of the active document are valid without a lease.
    pub lease: Option<LeaseTimings>,
    /// Time after its acknowledgement within which a document has to be active at every gateway. For that long, other
    /// gateways may have an older or a newer document.
    pub config_deadline: Duration,
}
