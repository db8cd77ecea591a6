//! Which endpoint gets a request, from thin and old knowledge.

mod balancer;
mod discovered_endpoint;
mod discovery;
mod endpoint_view;
mod in_flight_end;
mod load_sample;
mod retry_budget;
mod service_view;
mod wait_queue;

pub use self::{
    balancer::{Balancer, Placement, PlacementRequest, Probe, Unplaced},
    discovered_endpoint::{DiscoveredEndpoint, EndpointState, InstanceId},
    discovery::{DiscoveryChange, DiscoveryTable, Observation},
    in_flight_end::AttemptOutcome,
    load_sample::LoadSample,
    retry_budget::RetryBudget,
    wait_queue::{WaitQueue, WaitTicket},
};
