//! The retry budget.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use turmericloft::core::placement::RetryBudget;

const WINDOW: Duration = Duration::from_secs(10);

proptest! {
    /// Load pattern: requests arrive in bursts and each of them is retried.
    #[test]
    fn retries_in_any_window_stay_within_the_ratio_of_its_requests(
        gaps in prop::collection::vec(0_u64..400, 50..400),
        ratio in 0.05_f64..0.3,
    ) {
        let mut now = Instant::now();
        let mut budget = RetryBudget::new(WINDOW, ratio, 2.0);
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            budget.record_request(now);
            requests.push(now);
            if budget.try_take(now) {
                retries.push(now);
            }
            let count_within = |times: &[Instant], span: Duration| {
                times.iter().filter(|at| now - **at < span).count() as f64
            };
            // The requests of a slice count until the whole slice has left the window.
            let allowed = count_within(&requests, WINDOW + WINDOW / 10) * ratio + 2.0;
            prop_assert!(count_within(&retries, WINDOW - WINDOW / 10) <= allowed);
        }
    }
}

#[test]
fn the_reserve_is_available_again_in_the_next_window_without_requests() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(WINDOW, 0.2, 1.0);
    assert!(budget.try_take(now));
    assert!(!budget.try_take(now + WINDOW / 2));
    assert!(budget.try_take(now + WINDOW));
}
