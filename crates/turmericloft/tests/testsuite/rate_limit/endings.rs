//! How gateways learn that a limit is over.

use std::time::{Duration, Instant};

use turmericloft::core::{
    placement::DiscoveredEndpoint,
    rate_limit::{
        CHECK_AFTER, EndpointLimits, LimitEvent, RateLimit, SharingGateways, StatedLimit,
    },
};

use super::{
    fleet::{Fleet, host},
    simulated_endpoint::endpoint,
};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn limit(per_second: f64) -> StatedLimit {
    StatedLimit::Limit(RateLimit::new(per_second).expect("valid"))
}

/// What the gateway on `host(own)` knows, with an endpoint that has just stated a limit.
fn told(now: Instant, own: usize, gateways: usize) -> (EndpointLimits, DiscoveredEndpoint) {
    let mut limits = EndpointLimits::default();
    let hosts = (0..gateways).map(host).collect();
    limits.set_sharing(now, SharingGateways::new(host(own), hosts, now, now));
    let endpoint = endpoint(0);
    limits.record_response(now, now, &endpoint, limit(1.0));
    (limits, endpoint)
}

#[test]
fn limit_ends_with_a_response_without_one_to_a_later_request() {
    let start = Instant::now();
    let (mut limits, endpoint) = told(start, 0, 1);
    let at = start + SECOND;
    // It was sent before the limit was stated, and its response was overtaken.
    let overtaken = limits.record_response(at, start - MS, &endpoint, StatedLimit::None);
    assert_eq!(overtaken, None);
    assert_eq!(
        limits.record_response(at, at, &endpoint, StatedLimit::Invalid),
        None
    );
    assert!(limits.is_limited(&endpoint.id));
    let ended = limits.record_response(at, start, &endpoint, StatedLimit::None);
    let ended = ended.expect("a change");
    assert_eq!((ended.event, ended.known_for), (LimitEvent::Ended, SECOND));
    assert!(!limits.is_limited(&endpoint.id));
}

/// Neither silence nor the registry ends a limit; the endpoint may start again under its id.
#[test]
fn limit_does_not_end_by_silence_or_by_the_registry() {
    let start = Instant::now();
    let (mut limits, endpoint) = told(start, 0, 1);
    let restarted = DiscoveredEndpoint {
        started_at_ms: 2,
        ..endpoint.clone()
    };
    for (after_s, listed) in [
        (100, vec![]),
        (200, vec![endpoint.clone()]),
        (300, vec![restarted]),
    ] {
        limits.retain_registered(start + after_s * SECOND, &listed);
        assert!(limits.is_limited(&endpoint.id), "after {after_s} s");
    }
    limits.retain_registered(start + 1_000 * SECOND, &[]);
    assert!(!limits.is_limited(&endpoint.id));
}

#[test]
fn changed_limit_changes_the_share() {
    let start = Instant::now();
    let (mut limits, endpoint) = told(start, 0, 1);
    assert_eq!(limits.total_share(), 5);
    let at = start + SECOND;
    let lower = limits.record_response(at, at, &endpoint, limit(0.001));
    assert_eq!(
        lower.map(|c| (c.event, c.share)),
        Some((LimitEvent::Changed, 2))
    );
    let none = limits.record_response(at, at, &endpoint, limit(0.0));
    assert_eq!(none.map(|c| c.share), Some(2));
    assert!(!limits.allows_request(at, &endpoint.id));
}

/// A share is used for requests, and for checks if there are none: also where the limit is 0.
#[test]
fn endpoint_that_gets_no_requests_is_checked() {
    let start = Instant::now();
    let (mut limits, endpoint) = told(start, 0, 1);
    limits.record_response(start, start, &endpoint, limit(0.0));
    // The first ones of several gateways are spread.
    let at = limits.next_check(start).expect("a share");
    assert!(at > start && at <= start + CHECK_AFTER);
    assert!(limits.take_due_checks(at - MS).is_empty());
    assert_eq!(limits.take_due_checks(at), std::slice::from_ref(&endpoint));
    assert!(!limits.try_take_check(at, &endpoint.id));
    assert!(limits.take_due_checks(at + CHECK_AFTER - MS).is_empty());
}

/// Two gateways claim the check of a silent limit at about the same time; both read both claims.
#[test]
fn gateway_whose_claim_is_the_first_in_the_log_checks_a_silent_limit() {
    let start = Instant::now();
    let at = start + 100 * SECOND;
    let mut gateways = [0, 1].map(|own| told(start, own, 40).0);
    let id = endpoint(0).id;
    for limits in &mut gateways {
        assert!(
            limits
                .next_claim()
                .is_some_and(|due| due > start + 40 * SECOND)
        );
        assert_eq!(limits.take_due_claims(at), std::slice::from_ref(&id));
        assert!(limits.take_due_claims(at + SECOND).is_empty());
    }
    let read = at + SECOND;
    let mut turns = gateways
        .iter_mut()
        .map(|limits| [0, 1].map(|n| limits.read_claim(read, &id, &host(n)).is_some()));
    assert_eq!(turns.next(), Some([true, false]));
    assert_eq!(turns.next(), Some([false, false]));
}

/// A gateway without a share has just checked a silent limit, when it gets a share.
#[test]
fn check_of_a_silent_limit_delays_the_first_request_of_a_new_share() {
    let start = Instant::now();
    let (mut limits, endpoint) = told(start, 0, 1);
    let others = (1..40).map(host).collect();
    let view = |hosts, as_of| SharingGateways::new(host(0), hosts, as_of, start);
    limits.set_sharing(start, view(others, start));
    assert_eq!(limits.total_share(), 0);
    let at = start + 100 * SECOND;
    limits.take_due_claims(at);
    assert!(limits.read_claim(at, &endpoint.id, &host(0)).is_some());
    limits.set_sharing(at, view(vec![host(0)], at));
    assert_eq!(limits.total_share(), 5);
    assert!(!limits.allows_request(at + 4 * SECOND, &endpoint.id));
}

/// A claim that its gateway reads too late counts for the others alone.
#[test]
fn gateway_does_not_follow_a_claim_that_it_wrote_long_ago() {
    let start = Instant::now();
    let (mut limits, endpoint) = told(start, 0, 2);
    let at = start + 60 * SECOND;
    assert_eq!(limits.take_due_claims(at).len(), 1);
    let late = at + 3 * SECOND;
    assert_eq!(limits.read_claim(late, &endpoint.id, &host(0)), None);
}

/// The log says that the limit is over, perhaps since before it was stated.
#[test]
fn limit_in_doubt_is_checked_soon() {
    let start = Instant::now();
    let (mut limits, endpoint) = told(start, 0, 2);
    limits.record_doubt(start, &endpoint.id);
    assert!(
        limits
            .next_claim()
            .is_some_and(|due| due <= start + 10 * SECOND)
    );
}

/// A response with the limit was overtaken by the news that it is over.
#[test]
fn limit_that_returns_as_soon_as_it_has_ended_is_checked_soon() {
    let start = Instant::now();
    let (mut limits, endpoint) = told(start, 0, 300);
    limits.record_end_elsewhere(start + SECOND, &endpoint.id);
    let again = start + SECOND + MS;
    limits.record_response(again, start, &endpoint, limit(1.0));
    assert!(
        limits
            .next_claim()
            .is_some_and(|due| due <= again + 10 * SECOND)
    );
    // Later it is a limit like any other.
    limits.record_end_elsewhere(again, &endpoint.id);
    let later = again + 10 * SECOND;
    limits.record_response(later, later, &endpoint, limit(1.0));
    assert!(
        limits
            .next_claim()
            .is_some_and(|due| due > later + 40 * SECOND)
    );
}

/// All gateways with a share have started again, and know nothing of the limit that ends. The others learn of it.
#[test]
fn gateways_without_a_share_notice_the_end_of_a_limit_that_nobody_tells_them() {
    for gateways in [17, 300] {
        let mut fleet = Fleet::new(gateways, 8, 80.0, gateways as u64);
        fleet.run(5 * SECOND);
        fleet.set_limit(0, Some(0.3));
        fleet.run(20 * SECOND);
        let with_share: Vec<_> = (0..gateways)
            .filter(|n| fleet.gateways[*n].balancer.limits().total_share() > 0)
            .collect();
        assert!(!with_share.is_empty());
        with_share.iter().for_each(|n| fleet.restart(*n));
        fleet.set_limit(0, None);
        // Silence, and the spread of the claims of a small fleet.
        fleet.run(60 * SECOND);
        let limited = fleet
            .gateways
            .iter()
            .filter(|g| g.balancer.limits().count() > 0);
        assert_eq!(limited.count(), 0, "of {gateways}");
    }
}

/// An endpoint whose limit is over is at its usual share again within seconds, at all gateways.
#[test]
fn limit_that_ends_is_over_at_all_gateways_within_seconds() {
    for (gateways, per_second) in [(17, 0.0), (17, 2.7), (300, 1.0)] {
        let mut fleet = Fleet::new(gateways, 8, 80.0, gateways as u64);
        fleet.run(5 * SECOND);
        fleet.set_limit(0, Some(per_second));
        fleet.run(10 * SECOND);
        fleet.set_limit(0, None);
        // The time until a gateway with a share asks, and the longest pause of those that read the news.
        fleet.run(CHECK_AFTER + 4 * SECOND);
        let limited = fleet
            .gateways
            .iter()
            .filter(|g| g.balancer.limits().count() > 0);
        assert_eq!(limited.count(), 0, "of {gateways} at {per_second}");
    }
}
