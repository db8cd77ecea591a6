//! The queue of requests that wait for capacity.

use std::sync::Arc;

use turmericloft::core::placement::{WaitQueue, WaitRank};

fn calendar() -> Arc<str> {
    "calendar".into()
}

#[test]
fn requests_leave_the_queue_by_rank_and_then_by_arrival() {
    let mut queue = WaitQueue::new();
    let first = queue
        .enqueue(&calendar(), WaitRank::of_route(2), 9)
        .expect("a position in the queue");
    let second = queue
        .enqueue(&calendar(), WaitRank::of_route(2), 9)
        .expect("a position in the queue");
    let urgent = queue
        .enqueue(&calendar(), WaitRank::of_route(0), 9)
        .expect("a position in the queue");
    assert!(queue.is_first(&urgent) && !queue.is_first(&first));
    queue.remove(&urgent);
    assert!(queue.is_first(&first) && !queue.is_first(&second));
    queue.remove(&first);
    assert!(queue.is_first(&second));
}

#[test]
fn less_urgent_requests_do_not_count_towards_the_limit_of_urgent_ones() {
    let mut queue = WaitQueue::new();
    let waiting: Vec<_> = (0..3)
        .map(|_| queue.enqueue(&calendar(), WaitRank::of_route(2), 3))
        .collect();
    assert!(waiting.iter().all(Option::is_some));
    assert!(
        queue
            .enqueue(&calendar(), WaitRank::of_route(2), 3)
            .is_none()
    );
    assert!(
        queue
            .enqueue(&calendar(), WaitRank::of_route(1), 3)
            .is_some()
    );
}

#[test]
fn a_new_request_waits_behind_those_of_its_rank_and_more_urgent_ones() {
    let mut queue = WaitQueue::new();
    let ticket = queue
        .enqueue(&calendar(), WaitRank::of_route(1), 3)
        .expect("a position in the queue");
    assert!(
        queue.has_requests_ahead("calendar", WaitRank::of_route(1))
            && queue.has_requests_ahead("calendar", WaitRank::of_route(2))
    );
    assert!(
        !queue.has_requests_ahead("calendar", WaitRank::of_route(0))
            && !queue.has_requests_ahead("billing", WaitRank::of_route(1))
    );
    queue.remove(&ticket);
    assert!(!queue.has_requests_ahead("calendar", WaitRank::of_route(1)));
}

/// Guards against a route's rank that lets one organisation's requests pass those of a more urgent one.
#[test]
fn rank_of_the_organisation_goes_before_that_of_the_route() {
    let rank = |organisation, route| WaitRank {
        organisation,
        route,
    };
    let mut queue = WaitQueue::new();
    let mut join = |organisation, route| {
        let ticket = queue.enqueue(&calendar(), rank(organisation, route), 9);
        ticket.expect("a position in the queue")
    };
    let tickets = [join(2, 0), join(1, 3), join(1, 3), join(1, 0), join(0, 9)];
    for i in [4, 3, 1, 2, 0] {
        let first: Vec<_> = (0..5).filter(|n| queue.is_first(&tickets[*n])).collect();
        assert_eq!(first, [i]);
        let WaitRank {
            organisation,
            route,
        } = [rank(2, 0), rank(1, 3), rank(1, 3), rank(1, 0), rank(0, 9)][i];
        assert!(queue.has_requests_ahead("calendar", rank(organisation, route)));
        assert!(queue.has_requests_ahead("calendar", rank(organisation + 1, 0)));
        assert!(
            organisation == 0 || !queue.has_requests_ahead("calendar", rank(organisation - 1, 9))
        );
        queue.remove(&tickets[i]);
    }
}
