//! Bounds of a whole fleet whose gateways see its size differently.

use std::time::{Duration, Instant};

use turmericloft::core::placement::{RetryBudget, probe_rate, reckoned_gateways};

/// Probes a second that an endpoint may get from all gateways.
const MAX_RATE: f64 = 60.0;

/// Load pattern: a fleet starts while the list of gateways cannot be read.
#[test]
fn probes_of_a_fleet_of_unknown_size_stay_within_the_rate() {
    for gateways in [17, 129, 311, 913] {
        let of_one = probe_rate(MAX_RATE, reckoned_gateways(None));
        assert!(of_one * gateways as f64 <= MAX_RATE, "{gateways} gateways");
    }
}

/// Load pattern: a third of a fleet has joined, and the others have not read the list again.
#[test]
fn probes_of_a_fleet_with_two_views_of_its_size_stay_within_the_rate() {
    for before in [17_usize, 129, 311] {
        let joined = before / 3;
        let of_old = probe_rate(MAX_RATE, reckoned_gateways(Some(before)));
        let of_new = probe_rate(MAX_RATE, reckoned_gateways(Some(before + joined)));
        let total = of_old * before as f64 + of_new * joined as f64;
        assert!(total <= MAX_RATE, "{total} of {before} and {joined}");
    }
}

/// The same for the retries that need no requests: 0.2 of the requests and a reserve for all of them are allowed.
#[test]
fn retries_of_a_fleet_with_two_views_of_its_size_stay_within_the_limit() {
    for (before, reserve) in [(17_usize, 62.0), (129, 202.0), (311, 430.0)] {
        let joined = before / 3;
        let sizes = [
            (before, Some(before)),
            (joined, Some(before + joined)),
            (before, None),
        ];
        for requests in 0..40 {
            let mut retries = [0; 3];
            for (retries, (count, known)) in retries.iter_mut().zip(sizes) {
                *retries = count * retries_of_one(requests, reserve, known);
            }
            let [old, new, unknown] = retries;
            let allowed = |count: usize| 0.2 * (requests * count) as f64 + reserve;
            assert!(
                (old + new) as f64 <= allowed(before + joined),
                "{before}, {requests}"
            );
            assert!(
                unknown as f64 <= allowed(before),
                "{before} unknown, {requests}"
            );
        }
    }
}

/// Most retries of one gateway with so many requests in a window.
fn retries_of_one(requests: usize, reserve: f64, known: Option<usize>) -> usize {
    let now = Instant::now();
    let budget = RetryBudget::new(Duration::from_secs(10), 0.15, 1.5);
    let mut budget = budget.with_shared_reserve(reserve);
    budget.share_reserve(reckoned_gateways(known));
    (0..requests).for_each(|_| budget.record_request(now));
    (0..).take_while(|_| budget.try_take(now)).count()
}
