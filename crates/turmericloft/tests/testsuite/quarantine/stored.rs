//! Which crashes a gateway writes to the store.

use std::time::{Duration, Instant};

use turmericloft::core::{
    guard::Fingerprint,
    quarantine::{CrashReport, ExchangeTimings, RequestQuarantine, StoredCrashes},
};

use super::{crash, request, table_after};

const LIMIT: usize = 64;
/// Time within which all gateways have to know of a crash.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

fn stored() -> StoredCrashes {
    StoredCrashes::new(ExchangeTimings::new(STABILITY_WINDOW))
}

fn reports(table: &RequestQuarantine, now: Instant) -> Vec<CrashReport> {
    table.most_suspect(now, LIMIT)
}

#[test]
fn single_crashes_are_collected_and_repeated_ones_are_written_sooner() {
    let due_after = |crashes| {
        let (table, now) = table_after(crashes);
        let due = stored().write_due(now, &reports(&table, now));
        due.map(|at| at - now)
    };
    assert_eq!(due_after(0), None);
    let single = due_after(1).expect("a write");
    let repeated = due_after(2).expect("a write");
    assert!(repeated < single);
    // A third of the shortest time within which all gateways have to know.
    assert!(single <= Duration::from_secs(1));
}

/// Endpoints that reset connections when they are full break off a request every 10 ms for a minute.
#[test]
fn single_crashes_of_many_requests_are_written_no_more_often_than_the_window_needs() {
    let (mut table, start) = table_after(0);
    let mut stored = stored();
    let mut writes = 0;
    for i in 0..6_000 {
        let now = start + Duration::from_millis(10) * i;
        let sound = Fingerprint::of("h", "POST", &format!("/sound/{i}"), b"");
        table.record_crash(now, sound, crash(i as usize, now, Duration::ZERO));
        let table = reports(&table, now);
        if stored.write_due(now, &table).is_some_and(|at| at <= now) {
            stored.record_write(now, &table);
            writes += 1;
        }
    }
    // A crash that just misses a write has to be read elsewhere within the window. The pause after a read and the
    // transfer take three tenths of it, so the writes can't be farther apart than seven tenths.
    let most = 60.0 / STABILITY_WINDOW.mul_f64(0.7).as_secs_f64();
    assert!(
        (5..=most.ceil() as usize).contains(&writes),
        "{writes} writes"
    );
}

/// What another zone wrote, and this gateway learned from it, is not written again.
#[test]
fn crashes_that_the_store_has_are_not_written_again() {
    let (table, now) = table_after(3);
    let read = reports(&table, now);
    let mut stored = stored();
    stored.record(&read);
    let mut other = RequestQuarantine::new("other", 9);
    other.merge(now, read);
    assert_eq!(stored.write_due(now, &reports(&other, now)), None);
}

#[test]
fn response_is_written_only_if_the_store_has_a_crash_that_it_cleared() {
    let (mut table, now) = table_after(1);
    let mut stored = stored();
    let written = reports(&table, now);
    table.record_response(now, &request());
    let cleared = reports(&table, now);
    assert_eq!(stored.write_due(now, &cleared), None);
    stored.record(&written);
    assert!(stored.write_due(now, &cleared).is_some());
    stored.record(&cleared);
    assert_eq!(stored.write_due(now, &cleared), None);
}

#[test]
fn most_suspect_requests_are_reported_first_when_there_are_many() {
    let (mut table, now) = table_after(3);
    for i in 0..200 {
        let sound = Fingerprint::of("h", "POST", &format!("/sound/{i}"), b"");
        table.record_crash(now, sound, crash(i, now, Duration::ZERO));
    }
    let reports = reports(&table, now);
    assert_eq!(reports.len(), LIMIT);
    assert_eq!(reports[0].request, request());
}

/// A gateway that starts long after a record was written does not take its crashes for new.
#[test]
fn quarantine_in_an_old_record_ends_when_it_would_have_ended() {
    let (table, now) = table_after(3);
    let written = reports(&table, now);
    let elapsed = super::LONG_QUARANTINE;
    let aged = written.into_iter().map(|report| report.aged(elapsed));
    let mut later = RequestQuarantine::new("gw", 2);
    later.merge(now + elapsed, aged.collect());
    assert!(!super::is_refused(&later, now + elapsed));
}
