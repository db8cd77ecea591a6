//! Which requests use what limits leave room for.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    placement::{AttemptOutcome, Balancer, PlacementError, PlacementRequest, RetryBudget},
    rate_limit::{RateLimit, SHARE_INTERVAL, SharingGateways, StatedLimit},
};

use super::{
    fleet::{host, request},
    simulated_endpoint::endpoint,
};

const SECOND: Duration = Duration::from_secs(1);
const URGENT: u32 = 0;
const LESS_URGENT: u32 = 2;

/// The view of the only gateway.
fn alone(now: Instant) -> SharingGateways {
    SharingGateways::new(host(0), vec![host(0)], now, now)
}

/// The only gateway, with two endpoints that accept next to nothing: each has two requests left. It was told a share
/// interval ago.
fn gateway(now: Instant) -> Balancer {
    let now = now.checked_sub(SHARE_INTERVAL).expect("a time");
    let budget = RetryBudget::new(10 * SECOND, 0.2, 1.0);
    let mut balancer = Balancer::new("a".into(), budget, Pcg64Mcg::seed_from_u64(3));
    let endpoints = [endpoint(0), endpoint(1)];
    balancer.set_endpoints(now, &endpoints);
    balancer.set_sharing(now, alone(now));
    let limit = StatedLimit::Limit(RateLimit::new(0.001).expect("valid"));
    for endpoint in &endpoints {
        balancer.record_limit(now, now, endpoint, limit);
    }
    balancer
}

fn is_placed(balancer: &mut Balancer, now: Instant, rank: u32) -> bool {
    let req = PlacementRequest { rank, ..request() };
    match balancer.place(now, &req) {
        Ok(placement) => {
            let outcome = AttemptOutcome::Abandoned;
            balancer.record_attempt_end(now, &placement, outcome, None);
            true
        }
        Err(PlacementError::Limited { .. }) => false,
        Err(e) => panic!("{e:?}"),
    }
}

/// Load pattern: many requests of little urgency, and a few urgent ones, for endpoints with limits.
#[test]
fn last_share_is_left_to_urgent_requests_while_there_are_any() {
    let now = Instant::now();
    let mut balancer = gateway(now);
    assert!(is_placed(&mut balancer, now, URGENT));
    let others = (0..10).filter(|_| is_placed(&mut balancer, now, LESS_URGENT));
    assert!(others.count() < 3, "nothing is left");
    assert!(is_placed(&mut balancer, now, URGENT));
}

#[test]
fn all_shares_are_used_when_no_urgent_requests_come() {
    let now = Instant::now();
    let mut balancer = gateway(now);
    let placed = (0..10).filter(|_| is_placed(&mut balancer, now, LESS_URGENT));
    assert_eq!(placed.count(), 4);
    // One that came long ago shows nothing.
    let mut balancer = gateway(now);
    assert!(is_placed(&mut balancer, now, URGENT));
    let later = now + 6 * SECOND;
    balancer.set_sharing(later, alone(later));
    let placed = (0..10).filter(|_| is_placed(&mut balancer, later, LESS_URGENT));
    assert_eq!(placed.count(), 3);
}
