//! Choice of endpoints while some are cold.

use std::time::{Duration, Instant};

use turmericloft::core::{
    evacuation::EvacuatedZones,
    placement::{AttemptOutcome, Balancer, PlacementError},
    slow_start::INTERVAL,
};

use super::{RATE, SLOW_START, bounds, services, view, warming};
use crate::placement::{balancer::balancer, endpoint, request};

/// A balancer with bounds and a view of one or many gateways, before the first list of endpoints.
fn slow_starting(now: Instant, gateways: usize) -> Balancer {
    let mut balancer = balancer(now, &[]);
    balancer.set_slow_start_bounds(Some(bounds()));
    balancer.set_slow_starts(&services(RATE));
    let listed: Vec<_> = (0..gateways).collect();
    balancer.set_sharing(now, view(0, &listed, now));
    balancer
}

/// Endpoints that get `count` requests, one after the other.
fn placed(balancer: &mut Balancer, now: Instant, count: usize) -> Vec<String> {
    let place = |_| {
        let placed = balancer.place(now, &request(&[])).ok()?;
        balancer.record_attempt_end(now, &placed, AttemptOutcome::Abandoned, None);
        Some(placed.endpoint.id.to_string())
    };
    (0..count).filter_map(place).collect()
}

/// Guards against a share that is exceeded, and against one that is never used.
#[test]
fn cold_endpoint_gets_the_share_of_the_gateway_and_others_get_the_rest() {
    let now = Instant::now();
    let mut balancer = slow_starting(now, 1);
    let preferred = endpoint("e2", "a");
    balancer.set_endpoints(now, &[endpoint("e1", "b"), preferred.clone()]);
    balancer.record_slow_start(now, now, &preferred, SLOW_START);
    for start in [now, now + INTERVAL] {
        let ids = placed(&mut balancer, start, 100);
        assert_eq!(ids.len(), 100);
        let to_cold = ids.iter().filter(|id| *id == "e2").count();
        assert_eq!(to_cold as u32, bounds().quota(RATE));
    }
    assert!(balancer.cold_mut().take_kept_away() > 0);
    let ids = placed(&mut balancer, now + SLOW_START, 100);
    assert!(ids.iter().all(|id| id == "e2"), "{ids:?}");
}

/// Guards against a service that is out of reach, or a request that is rejected without a time to return, while all
/// of its endpoints are cold.
#[test]
fn request_waits_for_a_share_if_all_endpoints_are_cold() {
    let now = Instant::now();
    for gateways in [1, 300] {
        let mut balancer = slow_starting(now, gateways);
        balancer.set_endpoints(now, &[warming("e1", SLOW_START)]);
        placed(&mut balancer, now, 100);
        let due = if gateways == 1 { INTERVAL } else { SLOW_START };
        let unplaced = balancer
            .place(now, &request(&[]))
            .map(|p| p.endpoint.id.clone());
        let Err(PlacementError::NoCapacity { retry_after }) = unplaced else {
            panic!("{gateways} {unplaced:?}");
        };
        assert!(
            retry_after >= due && retry_after < due * 2,
            "{retry_after:?}"
        );
        assert!(balancer.queue_limit(&request(&[]), Duration::from_secs(1)) > 0);
        assert!(!placed(&mut balancer, now + due, 1).is_empty());
    }
}

/// Guards against a herd at the endpoints of a zone that has returned.
#[test]
fn endpoints_of_a_returned_zone_are_cold() {
    let now = Instant::now();
    let mut balancer = slow_starting(now, 300);
    balancer.set_endpoints(now, &[endpoint("e1", "a"), endpoint("e2", "b")]);
    let evacuated: EvacuatedZones = ["a".into()].into_iter().collect();
    balancer.set_evacuated_zones(now, evacuated);
    balancer.set_evacuated_zones(now, EvacuatedZones::default());
    let is_cold = |b: &Balancer, now, id| b.cold().is_cold(now, id);
    assert!(is_cold(&balancer, now, "e1") && !is_cold(&balancer, now, "e2"));
    balancer.record_slow_start(now, now, &endpoint("e1", "a"), Duration::ZERO);
    assert!(!is_cold(&balancer, now, "e1"));
}

/// Guards against probes by gateways without a share, which count at the endpoint too.
#[test]
fn cold_endpoint_is_probed_only_by_a_share_and_only_if_nothing_is_stated() {
    let now = Instant::now();
    for (gateways, stated, probes) in [(1, false, true), (1, true, false), (300, false, false)] {
        let mut balancer = slow_starting(now, gateways);
        balancer.set_endpoints(now, &[]);
        balancer.set_endpoints(now, &[endpoint("e1", "a")]);
        if stated {
            balancer.record_slow_start(now, now, &endpoint("e1", "a"), SLOW_START);
        }
        balancer.record_request(now, "calendar");
        let chosen = balancer.choose_probes(now, &request(&[]));
        assert_eq!(!chosen.is_empty(), probes, "{gateways} {stated}");
    }
}
