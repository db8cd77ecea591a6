//! When a stopping gateway does what.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use turmericloft::core::drain::{CLOSE_IDLE_AFTER, DrainPlan, MIN_TRANSFER_RATE, transfer_timeout};

proptest! {
    /// Guards against a process that is killed before it has sent its last responses.
    #[test]
    fn responses_are_sent_and_the_process_ends_within_any_grace_period(grace_ms in 1_u64..600_000) {
        let (now, grace) = (Instant::now(), Duration::from_millis(grace_ms));
        let plan = DrainPlan::new(now, grace);
        prop_assert!(now < plan.close_idle_at);
        prop_assert!(plan.close_idle_at < plan.latest_deadline);
        prop_assert!(plan.latest_deadline < plan.respond_by);
        prop_assert!(plan.respond_by < plan.cut_off_at);
        prop_assert!(plan.cut_off_at < now + grace);
        prop_assert!(plan.close_idle_at <= now + CLOSE_IDLE_AFTER);
        // An endpoint may work until the last sixth of the grace period.
        prop_assert!(plan.respond_by >= now + grace * 5 / 6);
    }

    /// Guards against a request that is sent to an endpoint for longer than the gateway can wait.
    #[test]
    fn request_of_a_stopping_gateway_ends_before_its_last_responses_are_sent(
        arrived_ms in 0_u64..6_000,
        timeout_ms in 0_u64..60_000,
    ) {
        let now = Instant::now();
        let plan = DrainPlan::new(now, Duration::from_secs(6));
        let arrived = now + Duration::from_millis(arrived_ms);
        let deadline = arrived + Duration::from_millis(timeout_ms);
        let bound = deadline.min(plan.latest_deadline);
        let is_refused = arrived >= plan.close_idle_at && bound < deadline;
        prop_assert_eq!(plan.bound(arrived, deadline), (!is_refused).then_some(bound));
    }
}

/// Guards against a timeout that is the same for any length: a steady reader got the first part of a large response.
#[test]
fn large_response_may_take_as_long_as_its_bytes_take() {
    let base = Duration::from_secs(10);
    let seconds = 40;
    let bytes = (MIN_TRANSFER_RATE * seconds) as usize;
    assert_eq!(transfer_timeout(base, 0), base);
    let limit = transfer_timeout(base, bytes);
    assert_eq!(limit, base + Duration::from_secs(seconds));
}
