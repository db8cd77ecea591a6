//! The queue of requests that wait for room.

use std::sync::Arc;

use turmericloft::core::placement::WaitQueue;

fn calendar() -> Arc<str> {
    "calendar".into()
}

#[test]
fn urgent_requests_go_first_and_equal_ones_in_order() {
    let mut queue = WaitQueue::new();
    let late = queue.enqueue(&calendar(), 2, 9).expect("room");
    let later = queue.enqueue(&calendar(), 2, 9).expect("room");
    let urgent = queue.enqueue(&calendar(), 0, 9).expect("room");
    assert!(queue.is_first(&urgent) && !queue.is_first(&late));
    queue.remove(&urgent);
    assert!(queue.is_first(&late) && !queue.is_first(&later));
    queue.remove(&late);
    assert!(queue.is_first(&later));
}

#[test]
fn less_urgent_requests_do_not_fill_the_queue_for_urgent_ones() {
    let mut queue = WaitQueue::new();
    let waiting: Vec<_> = (0..3).map(|_| queue.enqueue(&calendar(), 2, 3)).collect();
    assert!(waiting.iter().all(Option::is_some));
    assert!(queue.enqueue(&calendar(), 2, 3).is_none());
    assert!(queue.enqueue(&calendar(), 1, 3).is_some());
}

#[test]
fn a_new_request_is_behind_those_of_its_rank_and_more_urgent_ones() {
    let mut queue = WaitQueue::new();
    let ticket = queue.enqueue(&calendar(), 1, 3).expect("room");
    assert!(queue.has_requests_ahead("calendar", 1) && queue.has_requests_ahead("calendar", 2));
    assert!(!queue.has_requests_ahead("calendar", 0) && !queue.has_requests_ahead("billing", 1));
    queue.remove(&ticket);
    assert!(!queue.has_requests_ahead("calendar", 1));
}
