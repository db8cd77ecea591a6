//! The instant from which the right to use keys counts.

use std::time::{Duration, Instant};

use turmericloft::core::{
    key_lease::{KeyLease, LeaseTimings, NewestDocument},
    relay::DocumentTimings,
};

use super::REVOCATION;

const SECOND: Duration = Duration::from_secs(1);

fn newest(version: u64, as_of: Instant) -> NewestDocument {
    NewestDocument {
        version,
        as_of: Some(as_of),
    }
}

#[test]
fn lease_ends_before_the_time_for_revocations() {
    let timings = LeaseTimings::new(REVOCATION);
    let start = Instant::now();
    let mut lease = KeyLease::default();
    assert!(!lease.is_held(start, &timings), "never confirmed");
    lease.confirm(1, newest(1, start));
    let margin = Duration::from_millis(500);
    assert_eq!(lease.lapses_at(&timings), Some(start + REVOCATION - margin));
    assert!(lease.is_held(start + REVOCATION - 2 * margin, &timings));
    assert!(!lease.is_held(start + REVOCATION - margin, &timings));
}

/// Guards against a lease on the keys of an old document that confirmations of a newer one extend.
#[test]
fn confirmation_of_a_newer_version_than_the_active_one_does_not_extend_the_lease() {
    let timings = LeaseTimings::new(REVOCATION);
    let start = Instant::now();
    let mut lease = KeyLease::default();
    lease.confirm(1, newest(1, start));
    lease.confirm(1, newest(2, start + 3 * SECOND));
    assert_eq!(lease.age(start + 4 * SECOND), Some(4 * SECOND));
    assert!(lease.is_held(start + 4 * SECOND, &timings));
    assert!(!lease.is_held(start + 5 * SECOND, &timings));
    lease.confirm(2, newest(2, start + 3 * SECOND));
    assert!(lease.is_held(start + 5 * SECOND, &timings));
}

#[test]
fn lease_never_goes_back() {
    let start = Instant::now();
    let mut lease = KeyLease::default();
    lease.confirm(2, newest(2, start + SECOND));
    lease.confirm(2, newest(2, start));
    lease.confirm(2, NewestDocument::default());
    assert_eq!(lease.age(start + SECOND), Some(Duration::ZERO));
}

/// Guards against times that do not fit together for some `revokeS`: a gateway with a path to the store confirms its
/// document often enough to serve for the whole time after the path is lost.
#[test]
fn gateway_serves_long_enough_without_a_path_for_any_time_for_revocations() {
    for ms in [1, 333, 1_000, 5_000, 60_000] {
        let revocation = Duration::from_millis(ms);
        let timings = LeaseTimings::new(revocation);
        let documents = DocumentTimings::new(timings.confirm_within());
        let oldest = documents.stale_after(u32::MAX) + documents.patience();
        assert!(oldest < timings.confirm_within());
        assert!(oldest + timings.serve_time() < timings.length(), "{ms} ms");
        assert!(timings.length() < revocation);
    }
}
