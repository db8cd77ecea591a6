//! What endpoints with limits get when all endpoints of a service have one.

use std::time::Duration;

use turmericloft::core::rate_limit::RateLimit;

use super::fleet::Fleet;

const SECOND: Duration = Duration::from_secs(1);
/// Time until all gateways have been told, and time in which requests are counted.
const TELLING: Duration = Duration::from_secs(6);
const COUNTED: Duration = Duration::from_secs(30);

/// Requests that endpoints with this limit get, as a fraction of what the quotas allow, and the worst excess over
/// what the users accept.
fn used_fraction(fleet: &mut Fleet, per_second: f64) -> f64 {
    fleet.run(5 * SECOND);
    for endpoint in 0..fleet.endpoints.len() {
        fleet.set_limit(endpoint, Some(per_second));
    }
    fleet.run(TELLING);
    let served = |fleet: &Fleet| {
        fleet
            .endpoints
            .iter()
            .map(|e| e.served_limited)
            .sum::<u64>()
    };
    let before = served(fleet);
    fleet.run(COUNTED);
    let limit = RateLimit::new(per_second).expect("valid");
    let interval = limit.request_interval().expect("accepts requests");
    let rate = f64::from(limit.quota()) / interval.as_secs_f64() * fleet.endpoints.len() as f64;
    (served(fleet) - before) as f64 / (rate * COUNTED.as_secs_f64())
}

/// Load pattern: more requests than the limits of all endpoints, evenly spread over the gateways.
#[test]
fn quotas_are_used_up_when_all_endpoints_have_limits() {
    for (gateways, per_second) in [(6, 2.0), (17, 2.0), (17, 0.3), (300, 1.0)] {
        let mut fleet = Fleet::new(gateways, 8, 80.0, 5);
        let used = used_fraction(&mut fleet, per_second);
        assert!(used > 0.85, "{gateways} gateways at {per_second}: {used}");
        assert!(fleet.worst_excess() <= 0.0);
    }
}

/// Load pattern: the same, with all clients at one of six gateways, or at a tenth of 300.
#[test]
fn quotas_are_used_up_when_the_clients_are_at_a_few_gateways() {
    for (gateways, with_clients, per_second) in [(6, 1, 2.0), (17, 2, 1.0), (300, 30, 1.0)] {
        let mut fleet = Fleet::new(gateways, 8, 80.0, 6);
        for gateway in with_clients..gateways {
            fleet.set_weight(gateway, 1e-3);
        }
        let used = used_fraction(&mut fleet, per_second);
        assert!(
            used > 0.85,
            "{with_clients} of {gateways} at {per_second}: {used}"
        );
        assert!(fleet.worst_excess() <= 0.0);
    }
}

/// Load pattern: all endpoints state limits at the same moment, and requests beyond them wait everywhere. Without a
/// spread all shares would be used at once, again and again.
#[test]
fn shares_are_used_at_different_times() {
    let mut fleet = Fleet::new(17, 16, 130.0, 7);
    fleet.run(5 * SECOND);
    for endpoint in 0..16 {
        fleet.set_limit(endpoint, Some(2.4));
    }
    fleet.run(TELLING);
    let served = |fleet: &Fleet| {
        fleet
            .endpoints
            .iter()
            .map(|e| e.served_limited)
            .sum::<u64>()
    };
    let mut by_second = Vec::new();
    for _ in 0..20 {
        let before = served(&fleet);
        fleet.run(SECOND);
        by_second.push(served(&fleet) - before);
    }
    let mean = by_second.iter().sum::<u64>() as f64 / by_second.len() as f64;
    let most = by_second.into_iter().max().expect("seconds") as f64;
    assert!(most < 2.0 * mean, "{most} in a second, {mean} on average");
}
