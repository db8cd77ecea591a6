//! Detection of stalled connections, as opposed to slow endpoints.

use std::time::{Duration, Instant};

use turmericloft::core::routing::ConnectionProgress;

const MEAN_LATENCY: Duration = Duration::from_millis(5);

#[test]
fn connection_is_stalled_only_if_another_completed_a_later_request() {
    let start = Instant::now();
    let mut progress = ConnectionProgress::new(start);
    progress.record_request(start);
    let later = start + ConnectionProgress::MIN_STALL;
    let sent_after = Some(start + Duration::from_millis(1));
    let sent_before = start.checked_sub(Duration::from_millis(1));
    assert!(progress.is_stalled(later, MEAN_LATENCY, sent_after));
    assert!(!progress.is_stalled(later, MEAN_LATENCY, sent_before));
    assert!(!progress.is_stalled(later, MEAN_LATENCY, None));
    assert!(!progress.is_stalled(start + MEAN_LATENCY, MEAN_LATENCY, sent_after));
}

#[test]
fn stall_timeout_of_a_slow_service_is_a_multiple_of_its_mean_latency() {
    let start = Instant::now();
    let mut progress = ConnectionProgress::new(start);
    progress.record_request(start);
    let mean_latency = Duration::from_secs(1);
    let sent_after = Some(start + mean_latency);
    assert!(!progress.is_stalled(start + mean_latency * 3, mean_latency, sent_after));
    assert!(progress.is_stalled(start + mean_latency * 4, mean_latency, sent_after));
}

#[test]
fn response_bytes_and_a_complete_response_reset_the_stall_timeout() {
    let start = Instant::now();
    let mut progress = ConnectionProgress::new(start);
    progress.record_request(start);
    let later = start + Duration::from_secs(1);
    let sent_after = Some(start + MEAN_LATENCY);
    progress.record_bytes(later);
    assert!(!progress.is_stalled(later + MEAN_LATENCY, MEAN_LATENCY, sent_after));
    progress.record_response(later);
    assert!(!progress.is_stalled(later + Duration::from_secs(9), MEAN_LATENCY, sent_after));
    assert!(progress.received_after(start));
}
