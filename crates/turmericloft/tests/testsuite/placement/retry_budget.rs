//! The retry budget.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use turmericloft::core::placement::RetryBudget;

/// Most retries that a gateway without requests may send in a window.
const RESERVE: f64 = 1.5;

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

/// A service of a fleet whose gateways share a limit of retries.
struct Fleet {
    gateways: usize,
    /// Requests of all gateways in a burst.
    requests: usize,
    /// Retries of all gateways in a window that need no requests.
    slack: f64,
}

impl Fleet {
    /// A budget of one gateway, which uses three quarters of the ratio.
    fn budget(&self) -> RetryBudget {
        let mut budget = RetryBudget::new(WINDOW, 0.15, RESERVE).with_shared_reserve(self.slack);
        budget.share_reserve(self.gateways);
        budget
    }

    /// Retries within two seconds: a burst of requests, and another one after all gateways were killed and
    /// have started again. Each request is to be retried.
    fn retries_around_a_restart(&self) -> usize {
        let start = Instant::now();
        let restart = start + Duration::from_secs(1);
        let restarted = || self.budget().after_restart(restart);
        let before = (0..self.gateways).map(|_| self.budget()).collect();
        let after = (0..self.gateways).map(|_| restarted()).collect();
        self.retries_in_burst(before, start) + self.retries_in_burst(after, restart)
    }

    fn retries_in_burst(&self, mut budgets: Vec<RetryBudget>, now: Instant) -> usize {
        let mut retries = 0;
        for i in 0..self.requests {
            let budget = &mut budgets[i % self.gateways];
            budget.record_request(now);
            while budget.try_take(now) {
                retries += 1;
            }
        }
        retries
    }
}

/// Load pattern: all endpoints of a service fail, and all gateways are killed at one moment.
#[test]
fn retries_of_a_whole_fleet_stay_within_the_limit_when_all_gateways_start_again() {
    for (gateways, requests, slack) in [
        (13, 500, 56.0),
        (17, 100, 62.0),
        (129, 648, 202.0),
        (311, 437, 430.0),
        (311, 3_080, 430.0),
        (913, 1_000, 800.0),
    ] {
        let fleet = Fleet {
            gateways,
            requests,
            slack,
        };
        let allowed = (0.2 * 2.0 * requests as f64 + slack) as usize;
        let retries = fleet.retries_around_a_restart();
        assert!(
            retries <= allowed,
            "{gateways} gateways: {retries} of {allowed}"
        );
        assert!(retries > 0);
    }
}
