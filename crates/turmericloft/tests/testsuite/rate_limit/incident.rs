//! The incident: endpoints that state a limit get their usual share from all gateways together.

use std::time::Duration;

use super::fleet::Fleet;

const SECOND: Duration = Duration::from_secs(1);

/// Load pattern: 17 gateways with 135 requests a second for 16 endpoints, two of which state a limit.
#[test]
fn endpoints_that_state_a_limit_get_no_more_than_it_allows_from_17_gateways() {
    let mut fleet = Fleet::new(17, 16, 135.0, 1);
    fleet.run(4 * SECOND);
    fleet.set_limit(3, Some(2.7));
    fleet.set_limit(7, Some(1.0));
    fleet.run(16 * SECOND);
    assert!(fleet.worst_excess() <= 0.0, "{}", fleet.worst_excess());
}

/// Load pattern: 300 gateways, each with about one request a second, and three endpoints with a limit.
#[test]
fn endpoints_that_state_a_limit_get_no_more_than_it_allows_from_300_gateways() {
    let mut fleet = Fleet::new(300, 100, 308.0, 2);
    fleet.run(2 * SECOND);
    for (endpoint, limit) in [(1, 0.3), (2, 1.0), (3, 30.0)] {
        fleet.set_limit(endpoint, Some(limit));
    }
    fleet.run(16 * SECOND);
    assert!(fleet.worst_excess() <= 0.0, "{}", fleet.worst_excess());
}
