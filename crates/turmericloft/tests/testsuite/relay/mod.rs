//! Relaying of registry data between gateways.

mod connections;
mod simulation;
mod upstream;
mod view;

use std::{sync::Arc, time::Duration};

use turmericloft::core::{
    placement::{DiscoveredEndpoint, EndpointState, Observation},
    relay::{RelayMember, RelayTimings},
};

/// Time within which every gateway has to know that an endpoint is draining.
const DRAIN_TIME: Duration = Duration::from_secs(2);

fn timings() -> RelayTimings {
    RelayTimings::new(DRAIN_TIME)
}

fn member(host: &str, zone: &str) -> RelayMember {
    RelayMember {
        host: host.into(),
        zone: zone.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
    }
}

fn endpoint(id: &str, state: EndpointState) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        id: id.into(),
        service: Arc::from("s"),
        address: "127.0.0.1:2".parse().expect("an address"),
        zone: Arc::from("a"),
        slots: 4,
        state,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}

fn observed(id: &str, offset: u64, state: EndpointState) -> Observation {
    Observation {
        id: id.into(),
        offset,
        endpoint: Some(endpoint(id, state)),
    }
}

fn removed(id: &str, offset: u64) -> Observation {
    Observation {
        id: id.into(),
        offset,
        endpoint: None,
    }
}
