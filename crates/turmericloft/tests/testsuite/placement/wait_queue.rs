//! The queue of requests that wait for capacity.

use std::sync::Arc;

use turmericloft::core::placement::WaitQueue;

fn calendar() -> Arc<str> {
    "calendar".into()
}

#[test]
fn requests_leave_the_queue_by_rank_and_then_by_arrival() {
    let mut queue = WaitQueue::new();
    let first = queue
        .enqueue(&calendar(), 2, 9)
        .expect("a position in the queue");
    let second = queue
        .enqueue(&calendar(), 2, 9)
        .expect("a position in the queue");
    let urgent = queue
        .enqueue(&calendar(), 0, 9)
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
    let waiting: Vec<_> = (0..3).map(|_| queue.enqueue(&calendar(), 2, 3)).collect();
    assert!(waiting.iter().all(Option::is_some));
    assert!(queue.enqueue(&calendar(), 2, 3).is_none());
    assert!(queue.enqueue(&calendar(), 1, 3).is_some());
}

#[test]
fn a_new_request_waits_behind_those_of_its_rank_and_more_urgent_ones() {
    let mut queue = WaitQueue::new();
    let ticket = queue
        .enqueue(&calendar(), 1, 3)
        .expect("a position in the queue");
    assert!(queue.has_requests_ahead("calendar", 1) && queue.has_requests_ahead("calendar", 2));
    assert!(!queue.has_requests_ahead("calendar", 0) && !queue.has_requests_ahead("billing", 1));
    queue.remove(&ticket);
    assert!(!queue.has_requests_ahead("calendar", 1));
}
