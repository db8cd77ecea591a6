//! Calls and attempts of one simulated run.

use turmericloft::core::{admission::FlowId, admission::Ticket, routing::EndpointId};

/// How a call completed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Completion {
    /// Got its result after this many seconds.
    Served(f64),
    /// Rejected by its gateway after this many seconds.
    Rejected(f64),
    /// No attempt succeeded.
    Failed,
    /// Got no result by its deadline.
    TimedOut,
}

/// One call. Its [`Arrival`](super::workload::Arrival) has the same index.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// `None` while the call runs or waits.
    pub completion: Option<Completion>,
    pub flow: Option<FlowId>,
    /// Handle of its entry in the gateway's queue; `None` unless the call waits there.
    pub ticket: Option<Ticket>,
    /// Endpoints of its attempts, in order; empty unless the policy is the gateway's scheduler.
    pub tried: Vec<EndpointId>,
    /// Indices of its attempts.
    pub attempts: Vec<usize>,
}

/// One attempt of a call.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub call: usize,
    pub gateway: usize,
    pub endpoint: usize,
    /// Send time, in nanoseconds since the start of the run.
    pub sent_ns: u64,
    /// Service time, in seconds.
    pub service_time_s: f64,
    /// Whether the gateway still awaits its response.
    pub is_pending: bool,
    pub state: AttemptState,
}

/// Where an attempt is, as the endpoint's side sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// On the network to the endpoint, which it may never reach.
    InTransit,
    /// Queued or running at the endpoint.
    AtEndpoint,
    /// Finished, shed, failed or cancelled.
    Ended,
}

/// Kind of an endpoint's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Response {
    /// The call ran.
    Succeeded,
    /// An error; the call did not run.
    Failed,
    /// Shed because the queue was full; the call did not run.
    Shed,
}
