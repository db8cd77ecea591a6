//! Reads of several topics of a registry that does not respond.

use std::time::{Duration, Instant};

use turmericloft::core::relay::{ReadPace, RecoveryTimings};

const STABILITY_WINDOW: Duration = Duration::from_secs(3);
const OUTAGE: Duration = Duration::from_secs(8);
/// Topics that a gateway reads.
const TOPICS: usize = 3;
const MS: Duration = Duration::from_millis(1);

fn timings() -> RecoveryTimings {
    RecoveryTimings::new(STABILITY_WINDOW)
}

/// Reads of one gateway in an outage in which each fails at once. Reads of the topics begin one after the other,
/// and each of them goes by one of `paces`.
fn reads(mut paces: Vec<ReadPace>, relies_on_upstream: bool) -> usize {
    let start = Instant::now();
    let mut reads = 0;
    let mut now = start;
    while now < start + OUTAGE {
        for topic in 0..TOPICS {
            let pace = topic % paces.len();
            let pace = &mut paces[pace];
            if pace
                .next_read(relies_on_upstream)
                .is_none_or(|due| due <= now)
            {
                pace.record_failure(now, now);
                reads += 1;
            }
        }
        now += MS;
    }
    reads
}

/// Each gateway of a large fleet asked for every topic by itself.
#[test]
fn topics_share_one_pace_while_the_registry_does_not_respond() {
    for relies_on_upstream in [false, true] {
        let one = ReadPace::new(timings());
        let shared = reads(vec![one.clone()], relies_on_upstream);
        let apart = reads(vec![one.clone(), one.clone(), one], relies_on_upstream);
        let period = match relies_on_upstream {
            true => timings().follower_period(),
            false => timings().lone_delay(),
        };
        let most = OUTAGE.div_duration_f64(period).ceil() as usize;
        assert!(shared <= most, "{shared} of {most}");
        assert!(apart > most, "{apart}");
    }
}

#[test]
fn response_to_a_read_of_any_topic_ends_the_wait() {
    let now = Instant::now();
    let mut pace = ReadPace::new(timings());
    assert_eq!(pace.next_read(true), None);
    pace.record_failure(now, now);
    assert_eq!(pace.next_read(false), Some(now + timings().lone_delay()));
    assert_eq!(
        pace.next_read(true),
        Some(now + timings().follower_period())
    );
    pace.record_response();
    assert_eq!(pace.next_read(true), None);
}

/// A read that began before another one fails after it.
#[test]
fn failure_of_an_earlier_read_does_not_delay_the_next_one() {
    let start = Instant::now();
    let mut pace = ReadPace::new(timings());
    pace.record_failure(start + 2 * MS, start + MS);
    let due = pace.next_read(false);
    pace.record_failure(start + 500 * MS, start);
    assert_eq!(pace.next_read(false), due);
}
