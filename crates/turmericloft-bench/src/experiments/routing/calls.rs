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
    /// Nanoseconds since the start.
    pub sent: u64,
    pub service_time_s: f64,
    /// Whether the gateway still waits for it.
    pub open: bool,
    /// Where it is.
    pub place: Place,
}

/// Where an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// On its way, or never to arrive.
    Network,
    /// At the endpoint.
    Endpoint,
    /// Done or cancelled.
    Gone,
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
