//! Relaying of registry data between gateways.

pub(crate) mod connections;
mod crash_reports;
mod document_changes;
mod document_freshness;
mod read_pace;
mod recovery;
mod registry;
mod retention;
mod simulated_gateway;
mod simulation;
mod upstream;
mod view;

use std::{sync::Arc, time::Duration};

use turmericloft::core::{
    placement::{
        DiscoveredEndpoint, EndpointState, Observation, RegistryEra, RegistryList, RegistryPosition,
    },
    relay::{RelayBounds, RelayMember, RelayTimings},
};

/// Link of each host.
const LINK_MBPS: u32 = 1_000;
/// Time within which every gateway has to know that an endpoint is draining.
const DRAIN_TIME: Duration = Duration::from_secs(2);

pub(crate) fn timings() -> RelayTimings {
    timings_of(DRAIN_TIME)
}

/// Timings of a deployment whose other bounds are in proportion to its drain time.
fn timings_of(drain_time: Duration) -> RelayTimings {
    RelayTimings::new(RelayBounds {
        drain_time,
        config_deadline: drain_time,
        stability_window: drain_time.mul_f64(1.5),
        link_bytes_per_second: 125_000_000,
    })
}

fn member(host: &str, zone: &str) -> RelayMember {
    RelayMember {
        host: host.into(),
        zone: zone.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        datagram_port: None,
        link_mbps: LINK_MBPS,
    }
}

/// The place at `offset` in the era numbered `era`.
fn at(era: u64, offset: u64) -> RegistryPosition {
    RegistryPosition::new(RegistryEra(era), offset)
}

/// A list of the whole registry in the era of its entries, complete up to `end`.
fn list(era: u64, end: u64, observations: Vec<Observation>) -> RegistryList {
    let in_era = |o: Observation| Observation {
        position: at(era, o.position.offset),
        ..o
    };
    RegistryList {
        era: RegistryEra(era),
        end,
        next_offset: end,
        observations: observations.into_iter().map(in_era).collect(),
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
        position: at(0, offset),
        is_proven: false,
        endpoint: Some(endpoint(id, state)),
    }
}

fn removed(id: &str, offset: u64) -> Observation {
    Observation {
        id: id.into(),
        position: at(0, offset),
        is_proven: false,
        endpoint: None,
    }
}
