//! Which connections are given up for others.

use std::time::{Duration, Instant};

use turmericloft::core::memory::{
    Activity, ActivityKind, STALL_TIME, choose_for_connection, choose_for_memory,
};

/// An activity without progress for so many milliseconds, with this many bytes.
fn activity(now: Instant, kind: ActivityKind, quiet_ms: u64, held: usize) -> Activity {
    Activity {
        kind,
        since: now - Duration::from_millis(quiet_ms),
        held,
    }
}

/// An instant that has others before it.
fn now() -> Instant {
    Instant::now() + Duration::from_secs(3_600)
}

/// Load pattern: a crowd opens connections and sends nothing, or a part of a head, beside clients that use theirs.
#[test]
fn connections_without_a_request_are_given_up_before_those_in_use() {
    let now = now();
    let open = [
        ("serving", activity(now, ActivityKind::Serving, 60_000, 0)),
        (
            "uploading",
            activity(now, ActivityKind::PartialBody, 900, 4_096),
        ),
        ("idle", activity(now, ActivityKind::Idle, 60_000, 0)),
        ("head", activity(now, ActivityKind::PartialHead, 5, 0)),
        ("unused", activity(now, ActivityKind::Unused, 10, 0)),
        ("unused longer", activity(now, ActivityKind::Unused, 20, 0)),
    ];
    let mut open: Vec<_> = open.into_iter().collect();
    let mut order = Vec::new();
    while let Some(chosen) = choose_for_connection(now, open.iter().copied()) {
        order.push(chosen);
        open.retain(|(name, _)| *name != chosen);
    }
    assert_eq!(order, ["unused longer", "unused", "head", "idle"]);
}

/// Load pattern: bodies stop short of their end and stay open.
#[test]
fn memory_is_reclaimed_from_those_without_progress_for_the_longest_time() {
    let now = now();
    let stalled = STALL_TIME.as_millis() as u64;
    let open = [
        (
            "going on",
            activity(now, ActivityKind::PartialBody, stalled - 1, 100),
        ),
        (
            "stalled",
            activity(now, ActivityKind::PartialBody, stalled, 100),
        ),
        (
            "not reading",
            activity(now, ActivityKind::Writing, stalled + 1, 100),
        ),
        (
            "stalled longest",
            activity(now, ActivityKind::PartialBody, 9_000, 100),
        ),
        ("serving", activity(now, ActivityKind::Serving, 9_000, 100)),
        (
            "holds nothing",
            activity(now, ActivityKind::PartialBody, 9_000, 0),
        ),
    ];
    assert_eq!(choose_for_memory(now, 100, open), ["stalled longest"]);
    let two = choose_for_memory(now, 101, open);
    assert_eq!(two, ["stalled longest", "not reading"]);
    let all = choose_for_memory(now, usize::MAX, open);
    assert_eq!(all, ["stalled longest", "not reading", "stalled"]);
    assert!(choose_for_memory(now, 0, open).is_empty());
}
