//! Faults by which requests that crash endpoints were sent too often, or sound ones refused.

use std::time::{Duration, Instant};

use turmericloft::core::quarantine::{RequestQuarantine, SendDecision};

use super::{LONG_QUARANTINE, crash, is_refused, request, table_after};

/// Time that a message takes between two gateways.
const TRANSIT: Duration = Duration::from_millis(3);

/// Passes the changes of each table to the other until neither has news, or `rounds` are over.
fn exchange_with_transit(tables: &mut [RequestQuarantine; 2], mut now: Instant, rounds: usize) {
    let mut sent = [0; 2];
    for round in 0..rounds {
        let from = round % 2;
        let changes = tables[from].reports_since(now, sent[from]);
        sent[from] = changes.revision;
        now += TRANSIT;
        tables[1 - from].merge(now, changes.reports);
    }
}

/// An endpoint resets a connection when it is full, at once; the report comes back over the relay.
#[test]
fn crash_that_other_gateways_report_back_counts_once() {
    let mut tables = [1, 2].map(|seed| RequestQuarantine::new("gw", seed));
    let now = Instant::now();
    tables[0].record_crash(now, request(), crash(1, now, Duration::ZERO));
    exchange_with_transit(&mut tables, now, 12);
    let later = now + Duration::from_secs(2);
    for table in &tables {
        assert_eq!(table.decide(later, &request()), SendDecision::Allowed);
        assert!(table.revision() <= 1, "reported without end");
    }
}

/// An endpoint resets a connection, and the next one responds at once. Neither gateway takes up the crash
/// again, although the messages differ in the time that they take.
#[test]
fn crash_that_a_response_has_cleared_does_not_return_with_a_late_report() {
    let mut tables = [1, 2].map(|seed| RequestQuarantine::new("gw", seed));
    let now = Instant::now();
    tables[0].record_crash(now, request(), crash(1, now, Duration::ZERO));
    let crashed = tables[0].reports_since(now, 0);
    tables[1].merge(now + 10 * TRANSIT, crashed.reports);
    let echoed = tables[1].reports_since(now + 10 * TRANSIT, 0);
    let responded_at = now + Duration::from_millis(1);
    tables[0].record_response(responded_at, &request());
    let responded = tables[0].reports_since(responded_at, crashed.revision);
    tables[0].merge(now + 11 * TRANSIT, echoed.reports);
    tables[1].merge(now + 12 * TRANSIT, responded.reports);
    for mut table in tables {
        let later = now + Duration::from_secs(1);
        let crash = crash(2, later, Duration::ZERO);
        let change = table
            .record_crash(later, request(), crash)
            .expect("a change");
        assert_eq!(change.after.crashes, 1);
    }
}

/// A client that never gives up: after each quarantine the request is sent once, and crashes one more
/// endpoint.
#[test]
fn request_with_many_crashes_is_refused_again_after_each_one() {
    let (mut table, mut now) = table_after(3);
    for n in 3..20 {
        while is_refused(&table, now) {
            now += Duration::from_secs(1);
        }
        table.record_crash(now, request(), crash(n, now, Duration::ZERO));
        assert!(is_refused(&table, now), "crash {n}");
    }
}

/// The client sends the request once a second for 20 minutes.
#[test]
fn request_that_always_crashes_endpoints_is_tried_three_times_at_most_in_twenty_minutes() {
    let (mut table, quarantined_at) = table_after(3);
    let mut sends = 0;
    for s in 1..1_200 {
        let now = quarantined_at + Duration::from_secs(s);
        if !is_refused(&table, now) {
            sends += 1;
            table.record_crash(now, request(), crash(sends, now, Duration::ZERO));
        }
    }
    assert!((1..=3).contains(&sends), "{sends} sends");
}

/// A request that has stopped crashing endpoints is let go after the first quarantine.
#[test]
fn request_is_let_go_after_its_first_quarantine() {
    let (table, now) = table_after(3);
    assert!(!is_refused(&table, now + LONG_QUARANTINE));
}

/// Two copies at a time are in flight at different endpoints, and both endpoints crash.
#[test]
fn copies_that_crash_endpoints_in_pairs_are_refused_after_the_second_pair() {
    let mut table = RequestQuarantine::new("gw", 1);
    let mut now = Instant::now();
    for pair in 0..2 {
        now += Duration::from_secs(1);
        for n in 0..2 {
            let ran_for = Duration::from_millis(500);
            table.record_crash(now, request(), crash(pair * 2 + n, now, ran_for));
        }
    }
    assert!(is_refused(&table, now));
}

/// Popular lookups succeed all the time, and one of them was broken off.
#[test]
fn successes_that_clear_nothing_are_not_reported() {
    let (mut table, now) = table_after(1);
    assert!(table.record_response(now, &request()).is_some());
    for i in 1..100 {
        let later = now + TRANSIT * i;
        assert_eq!(table.record_response(later, &request()), None);
    }
    let late = crash(1, now + TRANSIT * 50, Duration::ZERO);
    assert_eq!(
        table.record_crash(now + TRANSIT * 100, request(), late),
        None
    );
}
