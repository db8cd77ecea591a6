//! Calls and attempts of one simulated run.

use turmericloft::core::{admission::FlowId, admission::Ticket, routing::EndpointId};

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// Answered after so many seconds.
    Served(f64),
    /// Turned away after so many seconds.
    Refused(f64),
    /// Answered with an error.
    Failed,
    /// Not answered by its deadline.
    Late,
}

/// One call.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub ending: Option<Ending>,
    pub flow: Option<FlowId>,
    pub ticket: Option<Ticket>,
    pub tried: Vec<EndpointId>,
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
