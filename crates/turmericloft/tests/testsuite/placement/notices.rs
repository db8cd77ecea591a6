//! Endpoints that ask a gateway in a response to send them no requests.

use std::time::{Duration, Instant};

use turmericloft::core::placement::{
    AttemptOutcome, Balancer, DiscoveredEndpoint, EndpointNotice, PlacementError, PlacementRequest,
};

use super::{balancer::balancer, endpoint, request};

const LEAVING: EndpointNotice = EndpointNotice {
    is_leaving: true,
    retry_after: None,
};
const WAIT: Duration = Duration::from_secs(3);
const REJECTING: EndpointNotice = EndpointNotice {
    is_leaving: false,
    retry_after: Some(WAIT),
};
const MS: Duration = Duration::from_millis(1);

fn endpoint_at(id: &str, port: u16, started_at_ms: u64) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        address: ([127, 0, 0, 1], port).into(),
        started_at_ms,
        ..endpoint(id, "a")
    }
}

/// Ids of the endpoints that get the next requests, or are probed before them.
fn used(balancer: &mut Balancer, now: Instant) -> Vec<String> {
    let mut ids = Vec::new();
    for _ in 0..50 {
        let placed = balancer.place(now, &request(&[])).expect("capacity");
        balancer.record_attempt_end(now, &placed, AttemptOutcome::Abandoned, None);
        ids.push(placed.endpoint.id.to_string());
    }
    let probes = balancer.choose_probes(now, &request(&[])).into_iter();
    ids.extend(probes.map(|probe| probe.endpoint.id.to_string()));
    ids.sort();
    ids.dedup();
    ids
}

#[test]
fn endpoint_that_says_that_it_leaves_gets_no_requests_although_it_is_registered_as_ready() {
    let now = Instant::now();
    let endpoints = [endpoint_at("e1", 1, 1), endpoint_at("e2", 2, 1)];
    let mut balancer = balancer(now, &endpoints);
    balancer.record_notice(now, &endpoints[0], LEAVING);
    for s in [0, 5, 1_000] {
        let later = now + Duration::from_secs(s);
        balancer.set_endpoints(later, &endpoints);
        assert_eq!(used(&mut balancer, later), ["e2"]);
    }
}

/// The registry loses the entry of the leaving endpoint, and returns it from an older copy.
#[test]
fn endpoint_that_leaves_gets_no_requests_when_its_entry_comes_back() {
    let now = Instant::now();
    let endpoints = [endpoint_at("e1", 1, 1), endpoint_at("e2", 2, 1)];
    let mut balancer = balancer(now, &endpoints);
    balancer.record_notice(now, &endpoints[0], LEAVING);
    balancer.set_endpoints(now, &endpoints[1..]);
    // Under another id, with the start of the process that is leaving.
    let again = [endpoint_at("e3", 1, 1), endpoint_at("e2", 2, 1)];
    balancer.set_endpoints(now + WAIT, &again);
    assert_eq!(used(&mut balancer, now + WAIT), ["e2"]);
    // A later start at the same address is another endpoint, which accepts requests.
    let restarted = [endpoint_at("e4", 1, 2), endpoint_at("e2", 2, 1)];
    balancer.set_endpoints(now + WAIT, &restarted);
    assert!(used(&mut balancer, now + WAIT).contains(&"e4".to_owned()));
}

#[test]
fn endpoint_that_rejects_for_a_time_gets_neither_requests_nor_probes_before_its_end() {
    let now = Instant::now();
    let endpoints = [endpoint_at("e1", 1, 1), endpoint_at("e2", 2, 1)];
    let mut balancer = balancer(now, &endpoints);
    balancer.record_notice(now, &endpoints[0], REJECTING);
    // A shorter time in a later response does not shorten the first one.
    let shorter = EndpointNotice {
        retry_after: Some(MS),
        ..REJECTING
    };
    balancer.record_notice(now + MS, &endpoints[0], shorter);
    assert_eq!(used(&mut balancer, now + WAIT - MS), ["e2"]);
    // It starts again under another id.
    let restarted = [endpoint_at("e3", 1, 2), endpoint_at("e2", 2, 1)];
    balancer.set_endpoints(now + MS, &restarted);
    assert_eq!(used(&mut balancer, now + WAIT - MS), ["e2"]);
    assert!(used(&mut balancer, now + WAIT).contains(&"e3".to_owned()));
}

/// The address of the rejecting endpoint is taken over by an endpoint of another service.
#[test]
fn notice_of_an_endpoint_does_not_affect_another_service() {
    let now = Instant::now();
    let rejecting = DiscoveredEndpoint {
        service: "other".into(),
        ..endpoint_at("e1", 1, 1)
    };
    let mut balancer = balancer(now, &[endpoint_at("e2", 1, 1)]);
    balancer.record_notice(now, &rejecting, REJECTING);
    assert_eq!(used(&mut balancer, now), ["e2"]);
}

/// What cannot be served is rejected at once.
#[test]
fn request_is_rejected_if_all_endpoints_ask_for_none() {
    let now = Instant::now();
    let endpoints = [endpoint_at("e1", 1, 1)];
    let mut balancer = balancer(now, &endpoints);
    balancer.record_notice(now, &endpoints[0], LEAVING);
    let tried = [];
    let req: PlacementRequest<'_> = request(&tried);
    let placed = balancer.place(now, &req);
    assert!(matches!(placed, Err(PlacementError::NoEndpoint { .. })));
}

/// The client returns when the first of them accepts requests again, and not all clients at one moment.
#[test]
fn client_returns_when_the_first_rejecting_endpoint_accepts_requests() {
    let now = Instant::now();
    let endpoints = [endpoint_at("e1", 1, 1), endpoint_at("e2", 2, 1)];
    let mut balancer = balancer(now, &endpoints);
    balancer.record_notice(now, &endpoints[0], REJECTING);
    let longer = EndpointNotice {
        retry_after: Some(WAIT * 10),
        ..REJECTING
    };
    balancer.record_notice(now, &endpoints[1], longer);
    let mut times: Vec<_> = (0..20)
        .map(|_| match balancer.place(now, &request(&[])) {
            Err(PlacementError::NoEndpoint { retry_after }) => retry_after,
            placed => panic!("{placed:?}"),
        })
        .collect();
    assert!(times.iter().all(|t| *t >= WAIT && *t < WAIT * 2));
    times.dedup();
    assert!(times.len() > 1);
}
