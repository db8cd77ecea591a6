//! Faults by which requests that crash endpoints were sent too often, or sound ones refused.

use std::time::{Duration, Instant};

use turmericloft::core::quarantine::{RequestQuarantine, SendDecision};

use super::{crash, request};

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
