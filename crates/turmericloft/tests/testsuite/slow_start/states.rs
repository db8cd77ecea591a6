//! When an endpoint counts as cold.

use std::time::{Duration, Instant};

use turmericloft::core::{
    placement::{AttemptOutcome, DiscoveredEndpoint, EndpointState},
    slow_start::{ColdEndpoints, INTERVAL, SlowStartBounds, VIEW_REFRESH, VIEW_VALIDITY},
};

use super::{MS, RATE, SLOW_START, alone, bounds, services, view, warming};
use crate::placement::endpoint;

/// Guards against a gateway that starts beside warm endpoints and sends them nothing, and against one that takes a
/// cold endpoint for warm.
#[test]
fn endpoints_of_the_first_list_are_cold_for_as_long_as_their_entries_state() {
    let now = Instant::now();
    let cold = alone(now, &[endpoint("e1", "a"), warming("e2", SLOW_START)]);
    assert!(!cold.is_cold(now, "e1"));
    assert!(cold.is_cold(now + SLOW_START - MS, "e2"));
    assert!(!cold.is_cold(now + SLOW_START, "e2"));
}

/// Guards against an entry that is relayed once and repeated in every later list: it would never get warm.
#[test]
fn repeated_entry_does_not_prolong_a_slow_start() {
    let now = Instant::now();
    let entries = [warming("e1", SLOW_START)];
    let mut cold = alone(now, &entries);
    cold.set_endpoints(now + SLOW_START / 2, &entries);
    assert!(!cold.is_cold(now + SLOW_START, "e1"));
    cold.set_endpoints(now + SLOW_START, &[warming("e1", SLOW_START * 2)]);
    assert!(cold.is_cold(now + SLOW_START * 2, "e1"));
    cold.set_endpoints(now + SLOW_START * 2, &[endpoint("e1", "a")]);
    assert!(!cold.is_cold(now + SLOW_START * 2, "e1"));
}

/// Guards against a herd at an endpoint that has just started, restarted, returned or become reachable, although no
/// response has said that it is cold.
#[test]
fn endpoint_that_has_just_become_usable_is_cold_until_a_response_says_otherwise() {
    let now = Instant::now();
    let draining = DiscoveredEndpoint {
        state: EndpointState::Draining,
        ..endpoint("e2", "a")
    };
    let restarted = DiscoveredEndpoint {
        started_at_ms: 9,
        ..endpoint("e1", "a")
    };
    let zones = || {
        let mut cold = alone(now, &[endpoint("e1", "a"), draining.clone()]);
        assert_eq!(cold.count(now), 0);
        cold.record_zone_return(now, "b");
        assert_eq!(cold.count(now), 0);
        cold
    };
    let listed = |entry: &DiscoveredEndpoint| {
        let mut cold = zones();
        cold.set_endpoints(now, std::slice::from_ref(entry));
        cold
    };
    let mut returned = zones();
    returned.record_zone_return(now, "a");
    let mut reached = zones();
    reached.record_attempt_end(now - SLOW_START * 9, "e1", AttemptOutcome::Unreachable);
    assert!(!reached.is_cold(now, "e1"));
    reached.record_attempt_end(now, "e1", AttemptOutcome::Answered);
    let cases = [
        ("e3", listed(&endpoint("e3", "a"))),
        ("e1", listed(&restarted)),
        ("e2", listed(&endpoint("e2", "a"))),
        ("e1", returned),
        ("e1", reached),
    ];
    for (i, (id, mut cold)) in cases.into_iter().enumerate() {
        assert!(cold.is_cold(now + SLOW_START - MS, id), "{i}");
        assert!(!cold.is_cold(now + SLOW_START, id), "{i}");
        // A response to an earlier check says nothing of it.
        cold.record_stated(now + MS, now - MS, id, Duration::ZERO);
        assert!(cold.is_cold(now + MS, id), "{i}");
        cold.record_stated(now + MS, now, id, Duration::ZERO);
        assert!(!cold.is_cold(now + MS, id), "{i}");
        cold.record_stated(now + MS, now, id, SLOW_START);
        assert!(cold.is_cold(now + SLOW_START, id), "{i}");
    }
}

#[test]
fn without_bounds_or_a_slow_start_of_the_service_no_endpoint_is_cold() {
    let now = Instant::now();
    let entries = [warming("e1", SLOW_START)];
    let mut off = ColdEndpoints::new(None);
    off.set_services(&services(RATE));
    let mut other_service = ColdEndpoints::new(Some(bounds()));
    for cold in [&mut off, &mut other_service] {
        cold.set_sharing(view(0, &[0], now));
        cold.set_endpoints(now, &entries);
        cold.record_stated(now, now, "e1", SLOW_START);
        assert_eq!(cold.count(now), 0);
        assert_eq!(cold.view_due(now), None);
        assert!(cold.allows_request(now, "e1") && cold.allows_probe(now, "e1"));
    }
    for (overage, slack) in [(f64::NAN, 8.0), (1.5, -1.0), (f64::INFINITY, 8.0)] {
        assert_eq!(SlowStartBounds::new(overage, slack), None);
    }
}

/// Guards against two rates at once when an endpoint becomes cold after it got requests, and against a share that is
/// used by a list which others may have replaced.
#[test]
fn share_counts_what_was_sent_before_and_ends_with_its_list() {
    let now = Instant::now();
    let mut cold = alone(now, &[endpoint("e1", "a")]);
    let quota = bounds().quota(RATE);
    for _ in 0..quota {
        assert!(cold.allows_request(now, "e1"));
        cold.record_contact(now, "e1");
    }
    cold.record_stated(now, now, "e1", VIEW_VALIDITY * 2);
    assert!(!cold.allows_request(now + INTERVAL - MS, "e1"));
    assert!(cold.allows_request(now + INTERVAL, "e1"));
    assert!(!cold.allows_probe(now + INTERVAL, "e1"));
    assert!(cold.allows_request(now + VIEW_VALIDITY - MS, "e1"));
    assert!(!cold.allows_request(now + VIEW_VALIDITY, "e1"));
}

/// Guards against calls to the store that nobody needs, and against a gateway that starts with the whole system and uses
/// its first usable list only after the refresh.
#[test]
fn list_is_read_again_only_for_a_share_of_a_cold_endpoint() {
    let now = Instant::now();
    let mut cold = alone(now, &[endpoint("e1", "a")]);
    assert_eq!(cold.view_due(now), None);
    cold.record_stated(now, now, "e1", VIEW_VALIDITY * 2);
    assert_eq!(cold.view_due(now), Some(now + VIEW_REFRESH));
    let usable_from = now + SLOW_START;
    cold.set_sharing(view(0, &[0], now).with_long_usable_from(usable_from));
    assert_eq!(cold.view_due(now), Some(usable_from));
    assert!(!cold.allows_request(usable_from, "e1"));
    // A gateway that others precede for this endpoint has no share.
    cold.set_sharing(view(0, &(0..2_000).collect::<Vec<_>>(), now));
    assert_eq!(cold.view_due(now), None);
}
