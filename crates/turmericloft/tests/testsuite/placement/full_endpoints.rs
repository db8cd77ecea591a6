//! Endpoints that never respond to a request that they cannot queue.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use turmericloft::core::placement::{
    AttemptOutcome, Balancer, DiscoveredEndpoint, LoadReport, Placement, PlacementError,
    PlacementRequest, Probe, ProbeOutcome,
};

use super::{
    balancer::{MS, balancer, endpoints},
    endpoint, load, request,
    zone_world::{HIGH_RATE, replay},
};

const TIMEOUT: Duration = Duration::from_millis(800);

fn report(balancer: &mut Balancer, now: Instant, id: &str, running: u32) {
    let probe = Probe {
        endpoint: Arc::new(endpoint(id, "a")),
    };
    let outcome = ProbeOutcome::Reported(load(running, 0, 1.0));
    balancer.record_probe_end(now, &probe, outcome);
}

fn place(balancer: &mut Balancer, now: Instant) -> Result<Placement, PlacementError> {
    balancer.place(now, &request(&[]))
}

/// A request gets no response while another one that is sent later is served.
fn be_silent_once(balancer: &mut Balancer, now: Instant) -> Instant {
    let silent = place(balancer, now).expect("capacity");
    let served = place(balancer, now + MS).expect("capacity");
    let answered = AttemptOutcome::Answered;
    balancer.record_attempt_end(now + 100 * MS, &served, answered, None);
    let end = now + TIMEOUT;
    balancer.record_attempt_end(end, &silent, AttemptOutcome::TimedOut, None);
    end
}

/// Urgent requests may fill an endpoint beyond its slots. Without a bound, one of them would be the one too many that
/// costs a connection.
#[test]
fn an_endpoint_gets_at_most_one_request_beyond_its_slots_without_a_report() {
    let now = Instant::now();
    let wide = DiscoveredEndpoint {
        slots: 16,
        ..endpoint("e0", "a")
    };
    let mut balancer = balancer(now, &[wide]);
    let urgent = PlacementRequest {
        rank: 0,
        ..request(&[])
    };
    let sent = (0..40).filter(|_| balancer.place(now, &urgent).is_ok());
    assert!(sent.count() <= 17);
}

/// An ejected endpoint is still used if there is no other. For a full one this would cost one more connection.
#[test]
fn an_endpoint_that_serves_others_but_not_a_request_counts_as_full() {
    let start = Instant::now();
    let mut balancer = balancer(start, &endpoints(1));
    let end = be_silent_once(&mut balancer, start);
    for after in [Duration::ZERO, 500 * MS, 999 * MS] {
        let placed = place(&mut balancer, end + after);
        assert!(matches!(placed, Err(PlacementError::NoCapacity { .. })));
    }
    assert!(place(&mut balancer, end + 1_000 * MS).is_ok());
}

/// The state must not outlast the queue: a slot is free again after some hundred milliseconds.
#[test]
fn a_full_endpoint_gets_requests_again_once_it_reports_a_free_slot() {
    let start = Instant::now();
    let mut balancer = balancer(start, &endpoints(1));
    let end = be_silent_once(&mut balancer, start);
    report(&mut balancer, end + MS, "e0", 4);
    assert!(place(&mut balancer, end + 2 * MS).is_err());
    report(&mut balancer, end + 3 * MS, "e0", 1);
    assert!(place(&mut balancer, end + 4 * MS).is_ok());
}

/// A full endpoint has not crashed: when it has room again, it must be used as much as others.
#[test]
fn a_full_endpoint_is_not_ejected() {
    let start = Instant::now();
    let mut balancer = balancer(start, &endpoints(2));
    report(&mut balancer, start, "e0", 0);
    let tried = ["e1".into()];
    let req = request(&tried);
    let silent = balancer.place(start, &req).expect("capacity");
    let served = balancer.place(start + MS, &req).expect("capacity");
    let answered = AttemptOutcome::Answered;
    balancer.record_attempt_end(start + 90 * MS, &served, answered, None);
    let end = start + TIMEOUT;
    balancer.record_attempt_end(end, &silent, AttemptOutcome::TimedOut, None);
    report(&mut balancer, end + MS, "e0", 0);
    let placed = place(&mut balancer, end + 2 * MS).expect("capacity");
    assert_eq!(&*placed.endpoint.id, "e0");
}

/// An endpoint that responds to health checks and to no request has crashed or hangs. If its reports of free slots
/// ended the state each time, it would get requests all the time.
#[test]
fn an_endpoint_that_serves_no_request_is_ejected_although_it_reports_free_slots() {
    let mut now = Instant::now();
    let mut balancer = balancer(now, &endpoints(4));
    let mut sent_to_silent = 0;
    for _ in 0..40 {
        (0..4).for_each(|i| report(&mut balancer, now, &format!("e{i}"), u32::from(i != 0)));
        let placed = place(&mut balancer, now).expect("capacity");
        let is_silent = &*placed.endpoint.id == "e0";
        sent_to_silent += u32::from(is_silent);
        now += if is_silent { TIMEOUT } else { 100 * MS };
        let outcome = match is_silent {
            true => AttemptOutcome::TimedOut,
            false => AttemptOutcome::Answered,
        };
        balancer.record_attempt_end(now, &placed, outcome, None);
    }
    assert!(sent_to_silent <= 4, "{sent_to_silent}");
}

/// Id of the endpoint that gets a request. `e0` reported a free slot a second ago. The others, which had `usual`
/// requests then, report `load` just now.
fn choice_beside_an_old_report(usual: u32, load: LoadReport) -> String {
    let start = Instant::now();
    let mut balancer = balancer(start, &endpoints(4));
    let others = ["e1", "e2", "e3"];
    for id in (0..10).flat_map(|_| others) {
        report(&mut balancer, start, id, usual);
    }
    report(&mut balancer, start, "e0", usual.min(1));
    let now = start + 1_000 * MS;
    for id in others {
        let probe = Probe {
            endpoint: Arc::new(endpoint(id, "a")),
        };
        balancer.record_probe_end(now, &probe, ProbeOutcome::Reported(load));
    }
    let placed = place(&mut balancer, now).expect("capacity");
    placed.endpoint.id.to_string()
}

/// Near the capacity of all endpoints, each gateway that has found no free slot would send its request to the endpoint
/// whose report is the oldest, and their requests would fill its queue.
#[test]
fn an_old_report_does_not_draw_a_request_away_from_an_endpoint_known_to_have_room() {
    assert_ne!(choice_beside_an_old_report(3, load(4, 0, 1.0)), "e0");
}

/// An endpoint that just happens to be known must not get a queue while others probably have free slots.
#[test]
fn a_known_endpoint_gets_no_queue_while_the_service_has_room() {
    assert_eq!(choice_beside_an_old_report(0, load(4, 0, 1.0)), "e0");
}

/// The queue of an endpoint may have room for a single request.
#[test]
fn a_known_endpoint_with_a_queue_gets_no_further_request() {
    assert_eq!(choice_beside_an_old_report(3, load(4, 1, 1.0)), "e0");
}

/// Twelve gateways share endpoints of two slots near their limit, and each knows only its own requests and reports.
#[test]
fn hardly_any_request_of_many_gateways_finds_a_full_queue() {
    for seed in [5, 23] {
        let measured = replay(seed, HIGH_RATE, true);
        assert!(
            measured.found_full * 200 < measured.requests,
            "{measured:?}"
        );
    }
}
