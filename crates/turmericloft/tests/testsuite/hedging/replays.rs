//! Replays of faults with and without hedges.

use std::time::Duration;

use super::world::{Fault, Measured, replay};

const LIMIT: f64 = 0.05;
/// More than twice the longest time of a request at an endpoint at normal speed.
const SLOW: Duration = Duration::from_millis(200);
const SEEDS: [u64; 3] = [1, 17, 99];

fn is_within_limit(measured: &Measured, limit: f64) -> bool {
    f64::from(measured.hedges) <= f64::from(measured.requests) * limit
}

/// One endpoint in ten is seven times slower, another one every half second, and its reports do not show it.
#[test]
fn hedges_cut_the_tail_if_one_endpoint_in_ten_is_slow() {
    for seed in SEEDS {
        let before = replay(Fault::OneSlow, None, seed);
        let after = replay(Fault::OneSlow, Some(LIMIT), seed);
        let (slow_before, slow_after) = (before.slower_than(SLOW), after.slower_than(SLOW));
        let text = format!(
            "seed {seed}: {slow_before} and {slow_after} slow of {}",
            after.requests
        );
        assert!(slow_before > 0 && slow_after * 2 < slow_before, "{text}");
        assert!(after.failed <= before.failed, "{text}");
        assert!(is_within_limit(&after, LIMIT), "{text}");
    }
}

/// Another endpoint is no faster, and each hedge takes a slot for seven times as long.
#[test]
fn nothing_is_hedged_while_all_endpoints_are_slow() {
    for seed in SEEDS {
        let measured = replay(Fault::AllSlow, Some(LIMIT), seed);
        assert_eq!(measured.hedges_in_fault, 0, "seed {seed}");
        assert!(is_within_limit(&measured, LIMIT), "seed {seed}");
    }
}

/// In a burst all slots are in use, and each hedge would take the one of another request.
#[test]
fn nothing_is_hedged_in_a_burst() {
    for seed in SEEDS {
        let after = replay(Fault::Burst, Some(LIMIT), seed);
        let hedged = after.hedges_in_fault;
        assert_eq!(hedged, 0, "seed {seed}");
        assert!(is_within_limit(&after, LIMIT), "seed {seed}");
    }
}

/// Requests at an endpoint that reports free slots and never responds time out. A hedge saves them.
#[test]
fn hedges_save_requests_at_a_silent_endpoint() {
    for seed in SEEDS {
        let before = replay(Fault::OneSilent, None, seed);
        let after = replay(Fault::OneSilent, Some(LIMIT), seed);
        let text = format!(
            "seed {seed}: {} failed, {} with hedges",
            before.failed, after.failed
        );
        assert!(
            before.failed > 0 && after.failed * 2 < before.failed,
            "{text}"
        );
        assert!(is_within_limit(&after, LIMIT), "{text}");
    }
}

/// Operators turn hedges off by a limit of 0, also those that the retry budget would allow.
#[test]
fn a_limit_of_0_sends_no_hedge_whatever_fails() {
    for fault in [
        Fault::OneSlow,
        Fault::AllSlow,
        Fault::Burst,
        Fault::OneSilent,
    ] {
        assert_eq!(replay(fault, Some(0.0), 1).hedges, 0, "{fault:?}");
    }
}
