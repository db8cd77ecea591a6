//! As of when a document is known to be the newest one.

use std::time::{Duration, Instant};

use turmericloft::core::relay::{DocumentAsOf, DocumentFreshness, DocumentTimings, PollOffset};

const DEADLINE: Duration = Duration::from_secs(2);
const MS: Duration = Duration::from_millis(1);

fn freshness() -> DocumentFreshness {
    DocumentFreshness::new(DocumentTimings::new(DEADLINE))
}

#[test]
fn document_is_as_fresh_as_the_start_of_its_last_read() {
    let start = Instant::now();
    let mut own = freshness();
    assert_eq!((own.as_of(), own.fresh_until()), (None, None));
    assert!(own.record_read(start + MS));
    assert!(!own.record_read(start), "an earlier read confirms nothing");
    assert_eq!(own.as_of(), Some(start + MS));
    let stale = DocumentTimings::new(DEADLINE).stale_after(0);
    assert_eq!(own.fresh_until(), Some(start + MS + stale));
}

/// Whatever messages take, a follower does not take the instant for later than it is.
#[test]
fn relayed_instant_is_never_later_than_that_of_the_upstream() {
    let start = Instant::now();
    for (read_ms, polled_ms, received_ms, responded_ms) in [
        (0, 100, 100, 100),
        (0, 100, 900, 1_700),
        (500, 100, 150, 600),
        (500, 100, 900, 901),
    ] {
        let mut upstream = freshness();
        let read = start + read_ms * MS;
        upstream.record_read(read);
        let said = upstream
            .relayed(start + received_ms * MS)
            .expect("confirmed");
        let mut follower = freshness();
        let now = start + responded_ms * MS;
        assert!(follower.record_relayed(now, start + polled_ms * MS, said));
        let as_of = follower.as_of().expect("confirmed");
        assert!(as_of <= read, "{read_ms} {polled_ms} {received_ms}");
        // Each hop is given a little longer, so that the one next to the reader reads first.
        let hop = follower.fresh_until().expect("confirmed") - as_of;
        assert!(hop > upstream.fresh_until().expect("confirmed") - read);
    }
}

/// The clock of a follower whose host was suspended in between may be ahead of what the upstream says.
#[test]
fn relayed_instant_is_not_in_the_future() {
    let now = Instant::now();
    let said = DocumentAsOf::new(now, now + DEADLINE, 1);
    let mut follower = freshness();
    assert!(follower.record_relayed(now, now, said));
    assert_eq!(follower.as_of(), Some(now));
}

#[test]
fn offset_counts_from_when_the_follower_sent_its_poll() {
    let polled_at = Instant::now() + DEADLINE;
    for (offset, expected) in [
        (PollOffset::Before(MS), Some(polled_at - MS)),
        (PollOffset::After(MS), Some(polled_at + MS)),
        (PollOffset::After(Duration::ZERO), Some(polled_at)),
        (PollOffset::After(Duration::MAX), None),
        (PollOffset::Before(Duration::MAX), None),
    ] {
        assert_eq!(offset.from_poll(polled_at), expected, "{offset:?}");
    }
    let received = polled_at;
    let of = |at| DocumentAsOf::new(received, at, 0).after_poll;
    assert_eq!(of(received - MS), PollOffset::Before(MS));
    assert_eq!(of(received + MS), PollOffset::After(MS));
}
