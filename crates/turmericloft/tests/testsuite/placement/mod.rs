//! Choice of the endpoint for each request.

pub(crate) mod balancer;
mod discovery;
mod extreme_values;
mod fleet_size;
mod full_endpoints;
mod grey_failure;
mod notices;
mod probes;
mod rejection;
mod retry_budget;
mod wait_fairness;
mod wait_queue;
mod zone_world;
mod zones;

use std::{sync::Arc, time::Duration};

use turmericloft::core::placement::{
    DiscoveredEndpoint, EndpointState, LoadReport, PlacementRequest,
};

/// An endpoint of the service `calendar` with four slots.
pub(crate) fn endpoint(id: &str, zone: &str) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        id: id.into(),
        service: "calendar".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.into(),
        slots: 4,
        state: EndpointState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}

fn load(running: u32, waiting: u32, slowdown: f64) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: 4,
        slowdown: Some(slowdown),
    }
}

pub(crate) fn request<'a>(tried: &'a [Arc<str>]) -> PlacementRequest<'a> {
    PlacementRequest {
        service: "calendar",
        tried,
        target_latency: Duration::from_millis(300),
        time_left: Duration::from_millis(1_000),
        rank: 2,
        organisation_rank: 0,
        needs_spare_capacity: false,
        transfer_bytes: 0,
        max_latency: Duration::from_millis(1_000),
    }
}
