//! Requests that crash endpoints: when they are put in quarantine, on which gateways, and when they
//! are let go.

mod abandoned;
mod incident;
mod stored;
mod suspected;

use std::time::{Duration, Instant};

use proptest::prelude::*;
use turmericloft::core::{
    guard::Fingerprint,
    quarantine::{Crash, RequestQuarantine, SendDecision},
};

/// Longer than any quarantine without a new crash.
const LONG_QUARANTINE: Duration = Duration::from_secs(121);

fn request() -> Fingerprint {
    Fingerprint::of("h", "POST", "/act/1", b"body")
}

/// The crash of endpoint `e{n}` at `at`, with a request that was sent `ran_for` earlier.
fn crash(n: usize, at: Instant, ran_for: Duration) -> Crash {
    Crash {
        endpoint: format!("e{n}").into(),
        sent_at: at - ran_for,
        at,
    }
}

/// A table after crashes of different endpoints, one a second, and the time of the last one.
fn table_after(crashes: usize) -> (RequestQuarantine, Instant) {
    let mut table = RequestQuarantine::new("gw", 1);
    let mut now = Instant::now();
    for n in 0..crashes {
        now += Duration::from_secs(1);
        table.record_crash(now, request(), crash(n, now, Duration::from_millis(20)));
    }
    (table, now)
}

fn is_refused(table: &RequestQuarantine, now: Instant) -> bool {
    matches!(table.decide(now, &request()), SendDecision::Refused { .. })
}

#[test]
fn request_is_sent_once_more_after_two_crashes_and_never_after_three() {
    let decisions: Vec<_> = (0..4)
        .map(|crashes| {
            let (table, now) = table_after(crashes);
            table.decide(now, &request())
        })
        .collect();
    assert_eq!(decisions[..2], [SendDecision::Allowed; 2]);
    assert_eq!(decisions[2], SendDecision::Once);
    assert!(matches!(decisions[3], SendDecision::Refused { .. }));
    let (table, now) = table_after(3);
    let other = Fingerprint::of("h", "POST", "/act/2", b"body");
    assert_eq!(table.decide(now, &other), SendDecision::Allowed);
}

/// A tenth of the endpoints is lost at one moment, with many copies of a sound request in flight.
#[test]
fn endpoints_that_crash_together_count_once() {
    let mut table = RequestQuarantine::new("gw", 1);
    let now = Instant::now();
    for n in 0..6 {
        let at = now + Duration::from_millis(n as u64);
        table.record_crash(at, request(), crash(n, at, Duration::from_millis(300)));
    }
    assert_eq!(table.decide(now, &request()), SendDecision::Allowed);
}

#[test]
fn response_clears_the_crashes_before_it() {
    let (mut table, now) = table_after(3);
    table.record_response(now, &request());
    assert_eq!(table.decide(now, &request()), SendDecision::Allowed);
    let later = now + Duration::from_secs(1);
    table.record_crash(later, request(), crash(9, later, Duration::ZERO));
    assert_eq!(table.decide(later, &request()), SendDecision::Allowed);
}

#[test]
fn released_request_that_crashes_again_is_refused_at_once() {
    let (mut table, now) = table_after(3);
    let released = now + LONG_QUARANTINE;
    assert_eq!(table.decide(released, &request()), SendDecision::Once);
    table.record_crash(released, request(), crash(7, released, Duration::ZERO));
    assert!(is_refused(&table, released));
}

#[test]
fn least_suspect_requests_are_dropped_when_the_table_is_full() {
    let (mut table, now) = table_after(3);
    for i in 0..2_000 {
        let other = Fingerprint::of("h", "POST", &format!("/other/{i}"), b"");
        table.record_crash(now, other, crash(i, now, Duration::ZERO));
    }
    assert!(is_refused(&table, now));
}

#[test]
fn changes_are_reported_once_also_if_there_are_many_or_some_were_forgotten() {
    let (mut table, now) = table_after(1);
    for i in 0..100 {
        let other = Fingerprint::of("h", "POST", &format!("/other/{i}"), b"");
        table.record_crash(now, other, crash(i, now, Duration::ZERO));
    }
    let mut since = 0;
    let mut reports = 0;
    while since < table.revision() {
        let changes = table.reports_since(now, since);
        assert!(changes.revision > since);
        since = changes.revision;
        reports += changes.reports.len();
    }
    assert_eq!(reports, 101);
    // All histories are forgotten but the last one, which a new crash brings.
    let later = now + Duration::from_secs(301);
    table.record_crash(later, request(), crash(0, later, Duration::ZERO));
    let changes = table.reports_since(later, 50);
    assert_eq!(changes.reports.len(), 1);
    assert_eq!(changes.revision, table.revision());
    let much_later = later + Duration::from_secs(301);
    table.merge(much_later, Vec::new());
    let changes = table.reports_since(much_later, 50);
    assert_eq!(changes.reports, []);
    assert_eq!(changes.revision, table.revision());
}

/// Passes the changes of each table to all others until nothing changes any more.
fn exchange(tables: &mut [RequestQuarantine], sent: &mut [u64], now: Instant) {
    for round in 0.. {
        assert!(
            round < 10,
            "the gateways tell each other the same without end"
        );
        let mut is_changed = false;
        for from in 0..tables.len() {
            let changes = tables[from].reports_since(now, sent[from]);
            sent[from] = changes.revision;
            for (to, table) in tables.iter_mut().enumerate() {
                is_changed |= to != from && !table.merge(now, changes.reports.clone()).is_empty();
            }
        }
        if !is_changed {
            return;
        }
    }
}

proptest! {
    /// Crashes and responses are seen by any of the gateways, whose messages take some time.
    #[test]
    fn gateways_agree_whichever_of_them_saw_what(
        events in prop::collection::vec((0_usize..4, 0_usize..5, 0_u8..5), 1..12),
        delay_ms in 0_u64..50,
    ) {
        let mut tables = [1, 2, 3, 4].map(|seed| RequestQuarantine::new("gw", seed));
        let mut sent = [0; 4];
        let mut alone = RequestQuarantine::new("gw", 1);
        let mut now = Instant::now();
        for (gateway, endpoint, kind) in events {
            now += Duration::from_secs(1);
            if kind == 0 {
                tables[gateway].record_response(now, &request());
                alone.record_response(now, &request());
            } else {
                let crash = crash(endpoint, now, Duration::from_millis(10));
                tables[gateway].record_crash(now, request(), crash.clone());
                alone.record_crash(now, request(), crash);
            }
            let arrived = now + Duration::from_millis(delay_ms);
            exchange(&mut tables, &mut sent, arrived);
            for table in &tables {
                prop_assert_eq!(is_refused(table, arrived), is_refused(&alone, arrived));
            }
        }
    }
}
