//! The choice of an endpoint, under the loads that it is made for.

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

const MS: Duration = Duration::from_millis(1);

fn balancer(now: Instant, endpoints: &[DiscoveredEndpoint]) -> Balancer {
    let budget = RetryBudget::new(Duration::from_secs(10), 0.2, 1.0);
    let mut balancer = Balancer::new("a".into(), budget, Pcg64Mcg::seed_from_u64(7));
    balancer.set_endpoints(now, endpoints);
    balancer
}

/// Tells the balancer what an endpoint answered to a probe.
fn tell(balancer: &mut Balancer, now: Instant, id: &str, load: LoadReport) {
    let probe = Probe {
        endpoint: Arc::new(endpoint(id, "a")),
    };
    balancer.record_probe_end(now, &probe, ProbeOutcome::Reported(load));
}

fn place(balancer: &mut Balancer, now: Instant) -> Placement {
    balancer.place(now, &request(&[])).expect("room")
}

fn ids(n: usize) -> Vec<DiscoveredEndpoint> {
    (0..n).map(|i| endpoint(&format!("e{i}"), "a")).collect()
}

/// Load pattern: one of two endpoints is seven times slower at this moment.
#[test]
fn a_slowed_endpoint_is_passed_over() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(2));
    tell(&mut balancer, now, "e0", load(0, 0, 7.0));
    tell(&mut balancer, now, "e1", load(2, 0, 1.0));
    assert_eq!(&*place(&mut balancer, now).endpoint.id, "e1");
}

/// Load pattern: all endpoints with room are slowed, and the target would be missed.
#[test]
fn no_endpoint_is_taken_that_would_miss_the_time_asked_for() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(2));
    tell(&mut balancer, now, "e0", load(0, 0, 7.0));
    tell(&mut balancer, now, "e1", load(4, 3, 1.0));
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

/// Load pattern: a burst; every endpoint is full, and what is sent on would queue there.
#[test]
fn full_endpoints_get_nothing_and_the_refusal_says_when_to_return() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(3));
    for id in ["e0", "e1", "e2"] {
        tell(&mut balancer, now, id, load(4, 4, 1.0));
    }
    let Err(PlacementError::NoCapacity { retry_after }) = balancer.place(now, &request(&[])) else {
        panic!("a full endpoint was chosen");
    };
    assert!(retry_after >= 50 * MS && retry_after <= 300 * MS);
}

/// Load pattern: own requests sent since the last report are known, whatever the report says.
#[test]
fn own_requests_in_flight_fill_an_endpoint() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(1));
    tell(&mut balancer, now, "e0", load(0, 0, 1.0));
    let sent = (0..10).filter(|_| balancer.place(now, &request(&[])).is_ok());
    assert_eq!(sent.count(), 4);
}

/// Load pattern: reports are seconds old; an endpoint must not be shunned for an old slowdown.
#[test]
fn an_old_report_counts_for_little() {
    let now = Instant::now();
    let later = now + 3_000 * MS;
    let mut balancer = balancer(now, &ids(6));
    tell(&mut balancer, now, "e0", load(0, 0, 7.0));
    for id in ["e2", "e3", "e4", "e5"] {
        tell(&mut balancer, later, id, load(4, 0, 1.0));
    }
    tell(&mut balancer, later, "e1", load(0, 0, 6.0));
    assert_eq!(&*place(&mut balancer, later).endpoint.id, "e0");
}

#[test]
fn leaving_and_replaced_endpoints_get_nothing() {
    let now = Instant::now();
    let leaving = DiscoveredEndpoint {
        state: EndpointState::Draining,
        ..endpoint("e0", "a")
    };
    let mut balancer = balancer(now, &[leaving, endpoint("e1", "a")]);
    let placed = place(&mut balancer, now);
    assert_eq!(&*placed.endpoint.id, "e1");
    balancer.record_attempt_end(now, &placed, AttemptOutcome::OtherInstance, None);
    let unplaced = balancer.place(now, &request(&[]));
    assert!(matches!(unplaced, Err(PlacementError::NoEndpoint { .. })));
}

/// Load pattern: an endpoint goes dark; each request to it would wait for its connection.
#[test]
fn an_endpoint_that_cannot_be_reached_is_ejected_and_tried_again_later() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(2));
    tell(&mut balancer, now, "e0", load(0, 0, 1.0));
    tell(&mut balancer, now, "e1", load(0, 0, 2.0));
    let placed = place(&mut balancer, now);
    assert_eq!(&*placed.endpoint.id, "e0");
    balancer.record_attempt_end(now, &placed, AttemptOutcome::Unreachable, None);
    assert_eq!(&*place(&mut balancer, now).endpoint.id, "e1");
    let later = now + 10_000 * MS;
    tell(&mut balancer, later, "e0", load(0, 0, 1.0));
    tell(&mut balancer, later, "e1", load(0, 0, 2.0));
    assert_eq!(&*place(&mut balancer, later).endpoint.id, "e0");
}

/// Load pattern: an endpoint fails part of its requests at once, which looks like speed.
#[test]
fn an_endpoint_that_fails_fast_loses_its_requests() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(2));
    for i in 0..6 {
        let at = now + 10 * MS * i;
        tell(&mut balancer, at, "e0", load(0, 0, 1.0));
        tell(&mut balancer, at, "e1", load(2, 0, 1.0));
        let placed = place(&mut balancer, at);
        let outcome = match &*placed.endpoint.id {
            "e0" => AttemptOutcome::Failed,
            _ => AttemptOutcome::Answered,
        };
        balancer.record_attempt_end(at, &placed, outcome, None);
    }
    let at = now + 80 * MS;
    tell(&mut balancer, at, "e0", load(0, 0, 1.0));
    tell(&mut balancer, at, "e1", load(2, 0, 1.0));
    assert_eq!(&*place(&mut balancer, at).endpoint.id, "e1");
}

#[test]
fn the_own_zone_is_preferred_when_all_else_is_equal() {
    let now = Instant::now();
    let mut balancer = balancer(now, &[endpoint("e0", "b"), endpoint("e1", "a")]);
    for _ in 0..20 {
        let placed = place(&mut balancer, now);
        assert_eq!(&*placed.endpoint.id, "e1");
        balancer.record_attempt_end(now, &placed, AttemptOutcome::Abandoned, None);
    }
}

#[test]
fn an_endpoint_that_was_tried_is_not_tried_again() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(2));
    let tried = [place(&mut balancer, now).endpoint.id.clone()];
    let second = balancer.place(now, &request(&tried)).expect("another");
    assert_ne!(second.endpoint.id, tried[0]);
}

/// Load pattern: requests of low rank fill a service whose endpoints slow down when crowded.
#[test]
fn crowded_endpoints_that_slow_down_are_learned_and_left_some_room() {
    let start = Instant::now();
    let urgent = PlacementRequest {
        rank: 0,
        ..request(&[])
    };
    let mut balancer = balancer(start, &ids(1));
    let mut now = start;
    for _ in 0..40 {
        for running in [0, 3] {
            tell(&mut balancer, now, "e0", load(running, 0, 1.0));
            let placed = balancer.place(now, &urgent).expect("room");
            now += if running == 0 { 100 * MS } else { 200 * MS };
            balancer.record_attempt_end(
                now,
                &placed,
                AttemptOutcome::Answered,
                Some(load(running, 0, 1.0)),
            );
        }
    }
    tell(&mut balancer, now, "e0", load(3, 0, 1.0));
    assert!(balancer.place(now, &request(&[])).is_err());
    assert!(balancer.place(now, &urgent).is_ok());
}

/// Load pattern: a gateway knows endpoints from old answers only.
#[test]
fn endpoints_are_asked_unless_one_with_room_was_heard_of_just_now() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(5));
    let probes = balancer.choose_probes(now, &request(&[]));
    assert!(!probes.is_empty() && probes.len() <= 3);
    for probe in &probes {
        balancer.record_probe_end(now, probe, ProbeOutcome::Reported(load(0, 0, 1.0)));
    }
    assert!(balancer.choose_probes(now, &request(&[])).is_empty());
}

#[test]
fn endpoints_that_do_not_tell_their_load_are_not_asked_again() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(5));
    let probes = balancer.choose_probes(now, &request(&[]));
    balancer.record_probe_end(now, &probes[0], ProbeOutcome::NoReport);
    assert!(
        balancer
            .choose_probes(now + 100 * MS, &request(&[]))
            .is_empty()
    );
}

#[test]
fn probes_are_bounded_by_requests() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(50));
    let asked = |balancer: &mut Balancer| -> usize {
        let rounds = (0..50).map(|_| balancer.choose_probes(now, &request(&[])).len());
        rounds.sum()
    };
    let first = asked(&mut balancer);
    assert!(first < 50, "{first} probes without a request");
    for _ in 0..10 {
        balancer.record_request(now, "calendar");
    }
    let more = asked(&mut balancer);
    assert!(more > 0 && more <= 60, "{more} probes for ten requests");
}

/// Load pattern: requests are so many that what they earn is more than the endpoints bear.
#[test]
fn probes_are_bounded_by_what_endpoints_bear() {
    const PER_ENDPOINT: f64 = 0.5;
    const ENDPOINTS: usize = 50;
    const SECONDS: u32 = 20;
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(ENDPOINTS));
    balancer.set_probe_rate(PER_ENDPOINT);
    let mut asked = 0;
    for ms in 0..SECONDS * 1_000 {
        let now = now + ms * MS;
        balancer.record_request(now, "calendar");
        let probes = balancer.choose_probes(now, &request(&[]));
        asked += probes.len();
        for probe in &probes {
            balancer.record_probe_end(now, probe, ProbeOutcome::Reported(load(4, 4, 1.0)));
        }
    }
    let borne = PER_ENDPOINT * ENDPOINTS as f64 * f64::from(SECONDS);
    assert!(asked as f64 <= 1.2 * borne, "{asked} probes, {borne} borne");
    assert!(asked as f64 >= 0.8 * borne, "{asked} probes, {borne} borne");
}

/// Load pattern: two of five endpoints are several times slower than usual at any moment, and a
/// gateway knows a few of them. What is usual looks better than one that just told of its speed,
/// and is worse.
#[test]
fn an_endpoint_that_just_told_of_room_goes_before_unknown_ones() {
    let now = Instant::now();
    for seed_requests in 0..20 {
        let mut balancer = balancer(now, &ids(40));
        let now = now + seed_requests * MS;
        tell(&mut balancer, now, "e7", load(2, 0, 1.0));
        let placed = place(&mut balancer, now);
        assert_eq!(&*placed.endpoint.id, "e7");
    }
}

/// One gateway of many has heard of a single endpoint, by chance a fast one.
#[test]
fn one_report_does_not_make_all_endpoints_fast() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(40));
    tell(&mut balancer, now, "e7", load(0, 0, 1.0));
    let tried = ["e7".into()];
    let placed = balancer.place(now, &request(&tried)).expect("room");
    assert!(
        placed.expected_latency > placed.service_time.mul_f64(1.2),
        "{placed:?}"
    );
}

/// One gateway of many has heard of a single endpoint, by chance a full one.
#[test]
fn one_report_does_not_make_all_endpoints_full() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(40));
    tell(&mut balancer, now, "e7", load(4, 0, 1.0));
    assert!(balancer.place(now, &request(&[])).is_ok());
}

/// Load pattern: an endpoint that was fast at the begin of a request is slow at its end. The
/// request took as long as at any fast one.
#[test]
fn work_is_judged_by_the_speed_at_its_begin() {
    let begin = Instant::now();
    let mut balancer = balancer(begin, &ids(1));
    let mut now = begin;
    for _ in 0..40 {
        tell(&mut balancer, now, "e0", load(0, 0, 1.0));
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
    tell(&mut balancer, now, "e0", load(0, 0, 1.0));
    let work = place(&mut balancer, now).service_time;
    assert!(work > 170 * MS && work < 240 * MS, "{work:?}");
}

/// A few requests are answered without work, and say nothing of the others.
#[test]
fn answers_without_work_do_not_hide_how_long_work_takes() {
    let begin = Instant::now();
    let mut balancer = balancer(begin, &ids(1));
    let mut now = begin;
    for i in 0..40 {
        tell(&mut balancer, now, "e0", load(0, 0, 1.0));
        let placed = place(&mut balancer, now);
        now += if i % 10 == 0 { 2 * MS } else { 200 * MS };
        balancer.record_attempt_end(
            now,
            &placed,
            AttemptOutcome::Answered,
            Some(load(0, 0, 1.0)),
        );
    }
    tell(&mut balancer, now, "e0", load(0, 0, 1.0));
    let work = place(&mut balancer, now).service_time;
    assert!(work > 170 * MS && work < 240 * MS, "{work:?}");
}

/// A new incarnation behind the same identity knows nothing of the failures before it.
#[test]
fn a_new_incarnation_begins_without_history() {
    let now = Instant::now();
    let mut balancer = balancer(now, &ids(1));
    let placed = place(&mut balancer, now);
    balancer.record_attempt_end(now, &placed, AttemptOutcome::OtherInstance, None);
    assert!(balancer.place(now, &request(&[])).is_err());
    let reborn = DiscoveredEndpoint {
        started_at_ms: 2,
        ..endpoint("e0", "a")
    };
    balancer.set_endpoints(now, &[reborn]);
    assert!(balancer.place(now, &request(&[])).is_ok());
}
