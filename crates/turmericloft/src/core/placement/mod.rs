//! Choice of the endpoint for each request, from sparse and outdated load reports.

mod attempt_outcome;
mod balancer;
mod discovered_endpoint;
mod discovery;
mod endpoint_view;
mod load_report;
mod placement_error;
mod placement_request;
mod probe;
mod probe_budget;
mod retry_budget;
mod service_view;
mod wait_queue;

pub use self::{
    attempt_outcome::AttemptOutcome,
    balancer::{Balancer, Placement},
    discovered_endpoint::{DiscoveredEndpoint, EndpointState, InstanceId},
    discovery::{DiscoveryChange, DiscoveryTable, Observation},
    load_report::LoadReport,
    placement_error::PlacementError,
    placement_request::PlacementRequest,
    probe::{Probe, ProbeOutcome},
    probe_budget::ProbeBudget,
    retry_budget::RetryBudget,
    wait_queue::{WaitQueue, WaitTicket},
};
