//! Choice of endpoints while a zone is evacuated.

use std::time::{Duration, Instant};

use turmericloft::core::{
    evacuation::EvacuatedZones,
    placement::{AttemptOutcome, Balancer, PlacementError},
};

use crate::placement::{balancer::balancer, endpoint, request};

fn evacuated(zones: &[&str]) -> EvacuatedZones {
    zones.iter().map(|zone| (*zone).into()).collect()
}

/// Zones of the endpoints that get the next requests, or are probed before them.
fn used_zones(balancer: &mut Balancer, now: Instant) -> Vec<String> {
    let mut zones = Vec::new();
    for _ in 0..50 {
        let probes = balancer.choose_probes(now, &request(&[])).into_iter();
        zones.extend(probes.map(|probe| probe.endpoint.zone.to_string()));
        let placed = balancer.place(now, &request(&[])).expect("capacity");
        balancer.record_attempt_end(now, &placed, AttemptOutcome::Abandoned, None);
        zones.push(placed.endpoint.zone.to_string());
    }
    zones.sort();
    zones.dedup();
    zones
}

/// Guards against requests and probes to an evacuated zone, also by endpoints that register or start again later.
#[test]
fn evacuated_zone_gets_neither_requests_nor_probes() {
    let now = Instant::now();
    let mut endpoints = vec![endpoint("e1", "a"), endpoint("e2", "b")];
    let mut balancer = balancer(now, &endpoints);
    balancer.set_evacuated_zones(now, evacuated(&["a"]));
    assert_eq!(used_zones(&mut balancer, now), ["b"]);
    endpoints[0].started_at_ms += 1;
    endpoints.push(endpoint("e3", "a"));
    balancer.set_endpoints(now, &endpoints);
    assert_eq!(used_zones(&mut balancer, now), ["b"]);
    balancer.set_evacuated_zones(now, evacuated(&[]));
    // The balancer prefers its own zone.
    assert_eq!(
        used_zones(&mut balancer, now + Duration::from_secs(1)),
        ["a"]
    );
}

/// Guards against a gateway that reports itself as not ready: its clients would get no response at all.
#[test]
fn service_whose_endpoints_are_all_evacuated_rejects_and_the_gateway_stays_ready() {
    let now = Instant::now();
    let mut balancer = balancer(now, &[endpoint("e1", "a"), endpoint("e2", "b")]);
    balancer.set_evacuated_zones(now, evacuated(&["a", "b"]));
    let placed = balancer.place(now, &request(&[]));
    assert!(
        matches!(placed, Err(PlacementError::NoEndpoint { .. })),
        "{placed:?}"
    );
    assert!(balancer.choose_probes(now, &request(&[])).is_empty());
    assert_eq!(
        balancer.queue_limit(&request(&[]), Duration::from_secs(1)),
        0
    );
    assert!(balancer.has_endpoints());
}
