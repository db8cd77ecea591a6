//! When endpoints are probed for their load before a request is placed.

use std::time::Instant;

use turmericloft::core::placement::{Balancer, ProbeOutcome};

use super::{
    balancer::{MS, balancer, endpoints},
    load, request,
};

/// Load pattern: a gateway has only old load reports of the endpoints.
#[test]
fn endpoints_are_probed_unless_a_recent_report_shows_capacity() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(5));
    let probes = balancer.choose_probes(now, &request(&[]));
    assert!(!probes.is_empty() && probes.len() <= 3);
    for probe in &probes {
        balancer.record_probe_end(now, probe, ProbeOutcome::Reported(load(0, 0, 1.0)));
    }
    assert!(balancer.choose_probes(now, &request(&[])).is_empty());
}

#[test]
fn endpoints_without_load_reports_are_not_probed_again() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(5));
    let probes = balancer.choose_probes(now, &request(&[]));
    balancer.record_probe_end(now, &probes[0], ProbeOutcome::NoReport);
    assert!(
        balancer
            .choose_probes(now + 100 * MS, &request(&[]))
            .is_empty()
    );
}

#[test]
fn probes_are_limited_by_the_number_of_requests() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(50));
    let probed = |balancer: &mut Balancer| -> usize {
        let rounds = (0..50).map(|_| balancer.choose_probes(now, &request(&[])).len());
        rounds.sum()
    };
    let first = probed(&mut balancer);
    assert!(first < 50, "{first} probes without a request");
    for _ in 0..10 {
        balancer.record_request(now, "calendar");
    }
    let more = probed(&mut balancer);
    assert!(more > 0 && more <= 60, "{more} probes for ten requests");
}

/// Load pattern: so many requests that their probe budget exceeds the rate limit of the endpoints.
#[test]
fn probes_are_limited_by_the_rate_per_endpoint() {
    const PER_ENDPOINT: f64 = 0.5;
    const ENDPOINTS: usize = 50;
    const SECONDS: u32 = 20;
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(ENDPOINTS));
    balancer.set_probe_rate(PER_ENDPOINT);
    let mut probed = 0;
    for ms in 0..SECONDS * 1_000 {
        let now = now + ms * MS;
        balancer.record_request(now, "calendar");
        let probes = balancer.choose_probes(now, &request(&[]));
        probed += probes.len();
        for probe in &probes {
            balancer.record_probe_end(now, probe, ProbeOutcome::Reported(load(4, 4, 1.0)));
        }
    }
    let allowed = PER_ENDPOINT * ENDPOINTS as f64 * f64::from(SECONDS);
    assert!(
        probed as f64 <= 1.2 * allowed,
        "{probed} probes, {allowed} allowed"
    );
    assert!(
        probed as f64 >= 0.8 * allowed,
        "{probed} probes, {allowed} allowed"
    );
}
