//! Choice of the endpoint for each request, from sparse and outdated load reports.

mod attempt_outcome;
mod attempt_start;
mod balancer;
mod balancer_evacuation;
mod balancer_hedges;
mod balancer_limits;
mod balancer_slow_start;
mod balancer_waits;
mod discovered_endpoint;
mod discovery;
mod discovery_change;
mod endpoint_cost;
mod endpoint_fullness;
mod endpoint_notice;
mod endpoint_view;
mod fleet_size;
mod known_room;
mod load_report;
mod log_growth;
mod observation;
mod placement_error;
mod placement_request;
mod placement_result;
mod placement_times;
mod probe;
mod probe_budget;
mod queue_limit;
mod received_report;
mod registry_availability;
mod registry_entry;
mod registry_era;
mod registry_list;
mod registry_position;
mod registry_return;
mod retry_after;
mod retry_budget;
mod service_room;
mod service_view;
mod transfer_size;
mod urgent_requests;
mod wait_queue;
mod wait_rank;
mod zone_room;

pub use self::{
    attempt_outcome::AttemptOutcome,
    balancer::Balancer,
    discovered_endpoint::{DiscoveredEndpoint, EndpointState, InstanceId},
    discovery::DiscoveryTable,
    discovery_change::DiscoveryChange,
    endpoint_notice::EndpointNotice,
    fleet_size::{probe_rate, reckoned_gateways},
    load_report::LoadReport,
    observation::Observation,
    placement_error::PlacementError,
    placement_request::PlacementRequest,
    placement_result::Placement,
    placement_times::PlacementTimes,
    probe::{Probe, ProbeOutcome},
    probe_budget::ProbeBudget,
    queue_limit::{SlotShare, queue_limit},
    registry_era::RegistryEra,
    registry_list::RegistryList,
    registry_position::RegistryPosition,
    registry_return::RegistryReturn,
    retry_after::retry_after,
    retry_budget::RetryBudget,
    service_room::ServiceRoom,
    transfer_size::ResponseSizes,
    wait_queue::{WaitKey, WaitQueue, WaitTicket},
    wait_rank::WaitRank,
};
