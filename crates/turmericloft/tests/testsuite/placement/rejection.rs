//! When requests are rejected, and when their clients return.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use turmericloft::core::placement::{SlotShare, queue_limit, retry_after};

const SERVICE_TIME: Duration = Duration::from_millis(150);
const MS: Duration = Duration::from_millis(1);

/// Returns of 500 clients that are rejected in one moment, in groups of a tenth of a service time.
fn largest_group(time_to_target: Duration) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut groups = vec![0; 100];
    for _ in 0..500 {
        let delay = retry_after(SERVICE_TIME, time_to_target, rng.random::<f64>());
        groups[(delay.as_millis() / 15) as usize] += 1;
    }
    groups.into_iter().max().unwrap_or_default()
}

#[test]
fn clients_that_are_rejected_together_do_not_return_together() {
    assert!(largest_group(4 * SERVICE_TIME) < 500 / 5);
    assert!(largest_group(Duration::ZERO) < 500 / 10);
}

#[test]
fn client_that_can_still_be_served_in_time_returns_in_time() {
    let time_to_target = SERVICE_TIME * 5 / 2;
    let delay = retry_after(SERVICE_TIME, time_to_target, 1.0);
    assert!(delay + SERVICE_TIME <= time_to_target);
}

#[test]
fn client_that_cannot_be_served_in_time_returns_later() {
    let in_time = retry_after(SERVICE_TIME, 10 * SERVICE_TIME, 0.5);
    assert!(retry_after(SERVICE_TIME, Duration::ZERO, 0.5) > in_time);
    assert!(retry_after(MS, Duration::ZERO, 0.0) >= 50 * MS);
}

/// Requests that wait at 311 gateways for 99 endpoints of four slots, none of which waits for longer
/// than it takes to serve all of them.
#[test]
fn queues_of_a_large_fleet_together_can_be_served_within_the_wait() {
    let (slots, gateways) = (4 * 99, 311);
    let (max_wait, service_time) = (480 * MS, 470 * MS);
    let share = SlotShare {
        slots,
        gateways,
        own_in_flight: 1,
    };
    let waiting = queue_limit(share, max_wait, service_time) * gateways;
    let served_within_wait = f64::from(slots) * max_wait.as_secs_f64() / service_time.as_secs_f64();
    assert!((waiting as f64) < 2.0 * served_within_wait);
}

/// Limit of the queue of a gateway whose requests may wait a third longer than a slot is used.
fn limit_of(slots: u32, gateways: usize, own_in_flight: u32) -> usize {
    let share = SlotShare {
        slots,
        gateways,
        own_in_flight,
    };
    queue_limit(share, 80 * MS, 60 * MS)
}

#[test]
fn gateway_among_few_keeps_a_queue_for_a_burst() {
    assert_eq!(limit_of(52, 3, 0), 6);
    assert_eq!(limit_of(0, 311, 0), 1);
}

/// Clients are spread by a hash, so that one gateway has four times the requests of another.
#[test]
fn gateway_with_more_requests_than_others_keeps_a_longer_queue() {
    assert_eq!(limit_of(396, 311, 1), 2);
    assert_eq!(limit_of(396, 311, 4), 6);
    assert_eq!(limit_of(396, 311, 40), 6);
}
