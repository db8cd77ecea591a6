//! Bytes that requests move between availability zones.

use std::time::{Duration, Instant};

use turmericloft::core::placement::{PlacementRequest, Probe, ProbeOutcome, ResponseSizes};

use super::{
    balancer::balancer,
    endpoint, load, request,
    zone_world::{HIGH_RATE, LARGE_BYTES, Measured, USUAL_RATE, replay},
};

fn large<'a>() -> PlacementRequest<'a> {
    PlacementRequest {
        transfer_bytes: LARGE_BYTES,
        ..request(&[])
    }
}

/// A zone has 44% of the demand and a third of the endpoints, and demand waves are in counter-phase. If the first
/// request to come got the slot of the zone, the large ones would move their bytes to other zones.
#[test]
fn small_requests_leave_a_zone_that_is_short_of_room_before_large_ones() {
    for (seed, rate) in [(3, USUAL_RATE), (17, USUAL_RATE), (99, HIGH_RATE)] {
        let before = replay(seed, rate, false);
        let after = replay(seed, rate, true);
        let text = format!("seed {seed} rate {rate}: before {before:?} after {after:?}");
        assert!(after.requests > 8_000, "{text}");
        let bytes = |m: &Measured| m.bytes_between_zones as f64 / f64::from(m.requests);
        assert!(bytes(&after) < bytes(&before) / 2.0, "{text}");
        assert!(
            after.in_time_share() > before.in_time_share() - 0.01,
            "{text}"
        );
    }
}

/// A report of an endpoint in another zone must not draw a large request there while the zone has room.
#[test]
fn a_report_from_another_zone_does_not_draw_a_large_request_there() {
    let now = Instant::now();
    let endpoints = [
        endpoint("e0", "b"),
        endpoint("e1", "a"),
        endpoint("e2", "a"),
    ];
    for (req, zone) in [(large(), "a"), (request(&[]), "b")] {
        let mut balancer = balancer(now, &endpoints);
        let probe = Probe {
            endpoint: endpoint("e0", "b").into(),
        };
        balancer.record_probe_end(now, &probe, ProbeOutcome::Reported(load(0, 0, 1.0)));
        let placed = balancer.place(now, &req).expect("capacity");
        assert_eq!(&*placed.endpoint.zone, zone);
    }
}

/// Probes of other zones cost bytes themselves and make their endpoints look better than those of the zone.
#[test]
fn endpoints_of_the_zone_are_probed_first_for_a_large_request() {
    let now = Instant::now();
    let zones = ["b", "b", "b", "b", "b", "a", "a", "a"];
    let endpoints: Vec<_> = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| endpoint(&format!("e{i}"), zone))
        .collect();
    let mut balancer = balancer(now, &endpoints);
    // The endpoints of the zone are known to be slower than others, but not to be full.
    for i in 5..8 {
        let probe = Probe {
            endpoint: endpoint(&format!("e{i}"), "a").into(),
        };
        balancer.record_probe_end(now, &probe, ProbeOutcome::Reported(load(2, 0, 2.5)));
    }
    let probes = balancer.choose_probes(now + Duration::from_millis(60), &large());
    assert!(!probes.is_empty());
    assert!(
        probes.iter().all(|p| &*p.endpoint.zone == "a"),
        "{probes:?}"
    );
}

/// An endpoint of the zone beside a noisy neighbour takes several times as long as one of another zone.
#[test]
fn a_large_request_leaves_a_zone_whose_endpoints_are_slow() {
    let now = Instant::now();
    let endpoints = [endpoint("e0", "b"), endpoint("e1", "a")];
    let mut balancer = balancer(now, &endpoints);
    for (id, zone, slowdown) in [("e0", "b", 1.0), ("e1", "a", 7.0)] {
        let probe = Probe {
            endpoint: endpoint(id, zone).into(),
        };
        let load = load(0, 0, slowdown);
        balancer.record_probe_end(now, &probe, ProbeOutcome::Reported(load));
    }
    let placed = balancer.place(now, &large()).expect("capacity");
    assert_eq!(&*placed.endpoint.zone, "b");
}

/// The size of a response is known only after it has come, so that of its route has to do.
#[test]
fn responses_of_a_route_teach_how_much_its_requests_move() {
    let now = Instant::now();
    let mut sizes = ResponseSizes::new(now);
    let route = "download".into();
    assert_eq!(sizes.expected_transfer("download", 300), 300);
    for i in 0..20 {
        let at = now + Duration::from_secs(i);
        sizes.record(at, &route, 80_000 + 1_000 * (i as usize % 2) * 20);
    }
    let expected = sizes.expected_transfer("download", 300);
    assert!((88_000..93_000).contains(&expected), "{expected}");
    assert_eq!(sizes.expected_transfer("read", 300), 300);
    sizes.retain(|kept| &**kept != "download");
    assert_eq!(sizes.expected_transfer("download", 0), 0);
}
