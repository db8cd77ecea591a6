//! Telling a silent connection from a slow one.

use std::time::{Duration, Instant};

use turmericloft::core::routing::ConnectionProgress;

const USUAL: Duration = Duration::from_millis(5);

#[test]
fn a_connection_is_silent_only_while_others_answer_later_requests() {
    let start = Instant::now();
    let mut progress = ConnectionProgress::new(start);
    progress.request_sent(start);
    let later = start + ConnectionProgress::MIN_SILENCE;
    let sent_after = Some(start + Duration::from_millis(1));
    let sent_before = start.checked_sub(Duration::from_millis(1));
    assert!(progress.is_silent(later, USUAL, sent_after));
    assert!(!progress.is_silent(later, USUAL, sent_before));
    assert!(!progress.is_silent(later, USUAL, None));
    assert!(!progress.is_silent(start + USUAL, USUAL, sent_after));
}

#[test]
fn a_slow_service_is_given_several_of_its_usual_latencies() {
    let start = Instant::now();
    let mut progress = ConnectionProgress::new(start);
    progress.request_sent(start);
    let usual = Duration::from_secs(1);
    let sent_after = Some(start + usual);
    assert!(!progress.is_silent(start + usual * 3, usual, sent_after));
    assert!(progress.is_silent(start + usual * 4, usual, sent_after));
}

#[test]
fn bytes_and_a_whole_answer_end_the_silence() {
    let start = Instant::now();
    let mut progress = ConnectionProgress::new(start);
    progress.request_sent(start);
    let later = start + Duration::from_secs(1);
    let sent_after = Some(start + USUAL);
    progress.bytes_moved(later);
    assert!(!progress.is_silent(later + USUAL, USUAL, sent_after));
    progress.answer_whole(later);
    assert!(!progress.is_silent(later + Duration::from_secs(9), USUAL, sent_after));
    assert!(progress.moved_after(start));
}
