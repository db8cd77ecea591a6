//! Bounds of a deployment that reads of the registry and the relay have to keep.

use std::time::Duration;

/// Times that the operator requires, and the link that they have to be kept with. All intervals and timeouts are
/// derived from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayBounds {
    /// Time within which every gateway has to know that an endpoint is draining.
    pub drain_time: Duration,
    /// Time after its acknowledgement within which every gateway has to use a document.
    pub config_deadline: Duration,
    /// Time after the end of a fault, such as an outage of the registry, from which on the other
    /// bounds hold again.
    pub stability_window: Duration,
    /// What the host's link carries, in bytes a second.
    pub link_bytes_per_second: u64,
}
