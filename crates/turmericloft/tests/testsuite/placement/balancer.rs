//! Choice of the endpoint under the load patterns that it is designed for.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::placement::{
    AttemptOutcome, Balancer, DiscoveredEndpoint, EndpointState, LoadReport, Placement,
    PlacementError, PlacementRequest, Probe, ProbeOutcome, RetryBudget,
};

use super::{endpoint, load, request};

pub(super) const MS: Duration = Duration::from_millis(1);

pub(super) fn balancer(now: Instant, endpoints: &[DiscoveredEndpoint]) -> Balancer {
    let budget = RetryBudget::new(Duration::from_secs(10), 0.2, 1.0);
    let mut balancer = Balancer::new("a".into(), budget, Pcg64Mcg::seed_from_u64(7));
    balancer.set_endpoints(now, endpoints);
    balancer
}

/// Records a probe response of the endpoint `id` with a load report.
fn report_load(balancer: &mut Balancer, now: Instant, id: &str, load: LoadReport) {
    let probe = Probe {
        endpoint: Arc::new(endpoint(id, "a")),
    };
    balancer.record_probe_end(now, &probe, ProbeOutcome::Reported(load));
}

fn place(balancer: &mut Balancer, now: Instant) -> Placement {
    balancer
        .place(now, &request(&[]))
        .expect("an endpoint with capacity")
}

pub(super) fn endpoints(n: usize) -> Vec<DiscoveredEndpoint> {
    (0..n).map(|i| endpoint(&format!("e{i}"), "a")).collect()
}

/// Load pattern: one of two endpoints currently runs seven times slower.
#[test]
fn an_endpoint_with_a_high_slowdown_is_not_chosen() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(2));
    report_load(&mut balancer, now, "e0", load(0, 0, 7.0));
    report_load(&mut balancer, now, "e1", load(2, 0, 1.0));
    assert_eq!(&*place(&mut balancer, now).endpoint.id, "e1");
}

/// Load pattern: all endpoints with free slots are slow, so that the target latency would be
/// missed.
#[test]
fn an_endpoint_that_would_exceed_the_maximum_latency_is_not_chosen() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(2));
    report_load(&mut balancer, now, "e0", load(0, 0, 7.0));
    report_load(&mut balancer, now, "e1", load(4, 3, 1.0));
    let req = PlacementRequest {
        max_latency: 300 * MS,
        ..request(&[])
    };
    assert!(matches!(
        balancer.place(now, &req),
        Err(PlacementError::NoCapacity { .. })
    ));
    assert_eq!(&*place(&mut balancer, now).endpoint.id, "e0");
}

/// Load pattern: a burst fills every endpoint, and forwarded requests would queue there.
#[test]
fn full_endpoints_get_no_requests_and_the_error_has_a_retry_time() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(3));
    for id in ["e0", "e1", "e2"] {
        report_load(&mut balancer, now, id, load(4, 4, 1.0));
    }
    let Err(PlacementError::NoCapacity { retry_after }) = balancer.place(now, &request(&[])) else {
        panic!("a full endpoint was chosen");
    };
    assert!(retry_after >= 50 * MS && retry_after <= 300 * MS);
}

/// Load pattern: requests that this gateway sent since the last report are missing in the report.
#[test]
fn own_requests_in_flight_count_towards_the_slots_of_an_endpoint() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(1));
    report_load(&mut balancer, now, "e0", load(0, 0, 1.0));
    let sent = (0..10).filter(|_| balancer.place(now, &request(&[])).is_ok());
    assert_eq!(sent.count(), 4);
}

/// Load pattern: reports are seconds old. An endpoint must not be avoided because of an old
/// slowdown.
#[test]
fn an_old_load_report_has_little_weight() {
    let now = Instant::now();
    let later = now + 3_000 * MS;
    let mut balancer = balancer(now, &endpoints(6));
    report_load(&mut balancer, now, "e0", load(0, 0, 7.0));
    for id in ["e2", "e3", "e4", "e5"] {
        report_load(&mut balancer, later, id, load(4, 0, 1.0));
    }
    report_load(&mut balancer, later, "e1", load(0, 0, 6.0));
    assert_eq!(&*place(&mut balancer, later).endpoint.id, "e0");
}

#[test]
fn draining_and_replaced_endpoints_get_no_requests() {
    let now = Instant::now();
    let draining = DiscoveredEndpoint {
        state: EndpointState::Draining,
        ..endpoint("e0", "a")
    };
    let mut balancer = balancer(now, &[draining, endpoint("e1", "a")]);
    let placed = place(&mut balancer, now);
    assert_eq!(&*placed.endpoint.id, "e1");
    balancer.record_attempt_end(now, &placed, AttemptOutcome::OtherInstance, None);
    let placed = balancer.place(now, &request(&[]));
    assert!(matches!(placed, Err(PlacementError::NoEndpoint { .. })));
}

/// Load pattern: an endpoint becomes unreachable, and each request to it would wait for a
/// connection.
#[test]
fn an_unreachable_endpoint_is_ejected_and_used_again_later() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(2));
    report_load(&mut balancer, now, "e0", load(0, 0, 1.0));
    report_load(&mut balancer, now, "e1", load(0, 0, 2.0));
    let placed = place(&mut balancer, now);
    assert_eq!(&*placed.endpoint.id, "e0");
    balancer.record_attempt_end(now, &placed, AttemptOutcome::Unreachable, None);
    assert_eq!(&*place(&mut balancer, now).endpoint.id, "e1");
    let later = now + 10_000 * MS;
    report_load(&mut balancer, later, "e0", load(0, 0, 1.0));
    report_load(&mut balancer, later, "e1", load(0, 0, 2.0));
    assert_eq!(&*place(&mut balancer, later).endpoint.id, "e0");
}

/// Load pattern: an endpoint fails requests immediately, which looks like a low latency.
#[test]
fn an_endpoint_that_fails_fast_is_no_longer_chosen() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(2));
    for i in 0..6 {
        let at = now + 10 * MS * i;
        report_load(&mut balancer, at, "e0", load(0, 0, 1.0));
        report_load(&mut balancer, at, "e1", load(2, 0, 1.0));
        let placed = place(&mut balancer, at);
        let outcome = match &*placed.endpoint.id {
            "e0" => AttemptOutcome::Failed,
            _ => AttemptOutcome::Answered,
        };
        balancer.record_attempt_end(at, &placed, outcome, None);
    }
    let at = now + 80 * MS;
    report_load(&mut balancer, at, "e0", load(0, 0, 1.0));
    report_load(&mut balancer, at, "e1", load(2, 0, 1.0));
    assert_eq!(&*place(&mut balancer, at).endpoint.id, "e1");
}

#[test]
fn of_equal_endpoints_the_one_in_the_own_zone_is_chosen() {
    let now = Instant::now();
    let mut balancer = balancer(now, &[endpoint("e0", "b"), endpoint("e1", "a")]);
    for _ in 0..20 {
        let placed = place(&mut balancer, now);
        assert_eq!(&*placed.endpoint.id, "e1");
        balancer.record_attempt_end(now, &placed, AttemptOutcome::Abandoned, None);
    }
}

#[test]
fn an_endpoint_that_was_tried_is_not_chosen_for_a_retry() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(2));
    let tried = [place(&mut balancer, now).endpoint.id.clone()];
    let second = balancer
        .place(now, &request(&tried))
        .expect("another endpoint");
    assert_ne!(second.endpoint.id, tried[0]);
}

/// Load pattern: less urgent requests fill a service whose endpoints slow down when congested.
#[test]
fn endpoints_that_slow_down_when_congested_keep_free_slots_for_urgent_requests() {
    let start = Instant::now();
    let urgent = PlacementRequest {
        rank: 0,
        organisation_rank: 0,
        ..request(&[])
    };
    let mut balancer = balancer(start, &endpoints(1));
    let mut now = start;
    for _ in 0..40 {
        for running in [0, 3] {
            report_load(&mut balancer, now, "e0", load(running, 0, 1.0));
            let placed = balancer
                .place(now, &urgent)
                .expect("an endpoint with capacity");
            now += if running == 0 { 100 * MS } else { 200 * MS };
            balancer.record_attempt_end(
                now,
                &placed,
                AttemptOutcome::Answered,
                Some(load(running, 0, 1.0)),
            );
        }
    }
    report_load(&mut balancer, now, "e0", load(3, 0, 1.0));
    assert!(balancer.place(now, &request(&[])).is_err());
    assert!(balancer.place(now, &urgent).is_ok());
}

/// Load pattern: at any moment two of five endpoints are several times slower than normal, and a
/// gateway has recent reports of a few of them. The mean of the service gives unknown endpoints a
/// lower cost than the one that just reported normal speed, although they are worse on average.
#[test]
fn an_endpoint_that_just_reported_capacity_is_preferred_to_unknown_ones() {
    let now = Instant::now();
    for seed_requests in 0..20 {
        let mut balancer = balancer(now, &endpoints(40));
        let now = now + seed_requests * MS;
        report_load(&mut balancer, now, "e7", load(2, 0, 1.0));
        let placed = place(&mut balancer, now);
        assert_eq!(&*placed.endpoint.id, "e7");
    }
}

/// One gateway of many has a report of a single endpoint, which happens to be fast.
#[test]
fn one_report_of_a_fast_endpoint_does_not_make_all_expected_to_be_fast() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(40));
    report_load(&mut balancer, now, "e7", load(0, 0, 1.0));
    let tried = ["e7".into()];
    let placed = balancer
        .place(now, &request(&tried))
        .expect("an endpoint with capacity");
    assert!(
        placed.expected_latency > placed.service_time.mul_f64(1.2),
        "{placed:?}"
    );
}

/// One gateway of many has a report of a single endpoint, which happens to be full.
#[test]
fn one_report_of_a_full_endpoint_does_not_make_all_expected_to_be_full() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(40));
    report_load(&mut balancer, now, "e7", load(4, 0, 1.0));
    assert!(balancer.place(now, &request(&[])).is_ok());
}

/// Load pattern: an endpoint is fast at the start of a request and slow at its end. The request
/// takes as long as at any fast endpoint.
#[test]
fn service_time_is_estimated_with_the_slowdown_at_the_start() {
    let start = Instant::now();
    let mut balancer = balancer(start, &endpoints(1));
    let mut now = start;
    for _ in 0..40 {
        report_load(&mut balancer, now, "e0", load(0, 0, 1.0));
        let placed = place(&mut balancer, now);
        now += 200 * MS;
        balancer.record_attempt_end(
            now,
            &placed,
            AttemptOutcome::Answered,
            Some(load(0, 0, 7.0)),
        );
        now += 500 * MS;
    }
    report_load(&mut balancer, now, "e0", load(0, 0, 1.0));
    let service_time = place(&mut balancer, now).service_time;
    assert!(
        service_time > 170 * MS && service_time < 240 * MS,
        "{service_time:?}"
    );
}

/// A few requests get a response without processing. Their latency says nothing about the others.
#[test]
fn responses_without_processing_do_not_lower_the_service_time() {
    let start = Instant::now();
    let mut balancer = balancer(start, &endpoints(1));
    let mut now = start;
    for i in 0..40 {
        report_load(&mut balancer, now, "e0", load(0, 0, 1.0));
        let placed = place(&mut balancer, now);
        now += if i % 10 == 0 { 2 * MS } else { 200 * MS };
        balancer.record_attempt_end(
            now,
            &placed,
            AttemptOutcome::Answered,
            Some(load(0, 0, 1.0)),
        );
    }
    report_load(&mut balancer, now, "e0", load(0, 0, 1.0));
    let service_time = place(&mut balancer, now).service_time;
    assert!(
        service_time > 170 * MS && service_time < 240 * MS,
        "{service_time:?}"
    );
}

/// Failures of an earlier incarnation with the same identity do not count against a new one.
#[test]
fn a_new_incarnation_starts_without_history() {
    let now = Instant::now();
    let mut balancer = balancer(now, &endpoints(1));
    let placed = place(&mut balancer, now);
    balancer.record_attempt_end(now, &placed, AttemptOutcome::OtherInstance, None);
    assert!(balancer.place(now, &request(&[])).is_err());
    let restarted = DiscoveredEndpoint {
        started_at_ms: 2,
        ..endpoint("e0", "a")
    };
    balancer.set_endpoints(now, &[restarted]);
    assert!(balancer.place(now, &request(&[])).is_ok());
}
