//! What the simulated gateways exchange with endpoints and with each other.

use std::{sync::Arc, time::Instant};

use turmericloft::core::{placement::Placement, rate_limit::StatedLimit};

/// What happens at a time.
#[derive(Debug)]
pub(super) enum Event {
    /// A request or a check reaches its endpoint.
    Arrival(Exchange),
    /// Its response reaches the gateway.
    Response(Exchange),
}

/// A request or a check.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    pub(super) gateway: usize,
    pub(super) incarnation: u32,
    pub(super) endpoint: usize,
    pub(super) sent_at: Instant,
    /// `None` for a check.
    pub(super) placement: Option<Placement>,
    /// Whether the endpoint stated its limit in the response.
    pub(super) stated: StatedLimit,
}

/// A record of the log in which gateways tell each other of limits.
#[derive(Clone, Debug)]
pub(super) enum LogRecord {
    Ended { endpoint: usize },
    Claim { endpoint: usize, host: Arc<str> },
}
