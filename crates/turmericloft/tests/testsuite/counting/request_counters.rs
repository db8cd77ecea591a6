//! Counters of a gateway, and their snapshots.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use turmericloft::core::{
    HostId, Outcome, Step,
    counting::{
        CountKey, IncarnationCounts, LatencyHistogram, RequestCounters, Resolution, Snapshot,
        StepCount,
    },
};

use super::simulation::{key, name};

fn snapshot(counters: &RequestCounters, since: u64) -> Snapshot {
    let host = HostId {
        name: name("gw-1"),
        incarnation: 1,
    };
    counters.snapshot(host, since, 1)
}

#[test]
fn a_dropped_request_is_unfinished_at_its_last_recorded_step() {
    let counters = RequestCounters::new();
    let mut request = counters.admit(key("anna"));
    request.record_step(Step::AnswerBegun);
    drop(request);
    let rows = snapshot(&counters, 0).rows;
    let expected = StepCount {
        outcome: Outcome::Unfinished,
        step: Step::AnswerBegun,
        requests: 1,
    };
    assert_eq!(rows[0].counts.ended_with(Outcome::Unfinished), 1);
    assert_eq!(rows[0].counts.steps, [expected]);
}

#[test]
fn latency_is_recorded_only_of_served_requests_at_full_resolution() {
    let counters = RequestCounters::new();
    let start = Instant::now();
    let end = start + Duration::from_millis(7);
    let serve = |outcome| {
        let request = counters.admit_at(key("anna"), start);
        request.end_at(outcome, Step::Relayed, end);
    };
    serve(Outcome::Served);
    serve(Outcome::Refused);
    let counts = snapshot(&counters, 0).rows.remove(0).counts;
    assert_eq!(counts.latency.request_count(), 1);
    let p50 = counts.latency.quantile(0.5).expect("one latency");
    assert!((p50.as_secs_f64() / 0.007 - 1.0).abs() < 0.07, "{p50:?}");
    counters.set_resolution(Resolution::Counts);
    serve(Outcome::Served);
    let counts = &snapshot(&counters, 0).rows[0].counts;
    assert_eq!(counts.ended_with(Outcome::Served), 2);
    assert_eq!(counts.latency.request_count(), 0);
}

#[test]
fn requests_beyond_the_row_limit_are_summed_by_service_and_kind() {
    let counters = RequestCounters::with_row_limit(2);
    for caller in ["anna", "bo", "cleo", "dan", "anna"] {
        counters.admit(key(caller)).end(Outcome::Served);
    }
    let rows = snapshot(&counters, 0).rows;
    let admitted = |caller: &str| {
        let row = rows.iter().find(|r| r.key == key(caller));
        row.map_or(0, |r| r.counts.admitted)
    };
    assert_eq!(rows.len(), 3);
    assert_eq!(admitted("anna"), 2);
    assert_eq!(admitted("bo"), 1);
    assert_eq!(admitted(CountKey::OVERFLOW_CALLER), 2);
    assert_eq!(counters.requests(), 5);
}

#[test]
fn a_snapshot_has_only_the_rows_changed_after_its_base() {
    let counters = RequestCounters::new();
    counters.admit(key("anna")).end(Outcome::Served);
    let first = snapshot(&counters, 0);
    counters.admit(key("bo")).end(Outcome::Served);
    let second = snapshot(&counters, first.sequence);
    assert_eq!(second.rows.len(), 1);
    assert_eq!(second.rows[0].key, key("bo"));
    assert!(snapshot(&counters, second.sequence).rows.is_empty());
}

#[test]
fn a_snapshot_whose_base_was_not_applied_is_ignored() {
    let counters = RequestCounters::new();
    counters.admit(key("anna")).end(Outcome::Served);
    let first = snapshot(&counters, 0);
    counters.admit(key("bo")).end(Outcome::Served);
    let second = snapshot(&counters, first.sequence);
    let mut counts = IncarnationCounts::new(first.host.clone());
    counts.apply(second.clone());
    assert_eq!(counts.sequence(), 0);
    counts.apply(first.clone());
    counts.apply(second.clone());
    counts.apply(first);
    assert_eq!(counts.sequence(), second.sequence);
    assert_eq!(counts.rows_changed_after(0).len(), 2);
}

#[test]
fn requests_counted_concurrently_with_snapshots_are_not_lost() {
    const THREADS: usize = 4;
    const REQUESTS: u64 = 2_000;
    let counters = RequestCounters::new();
    let workers: Vec<_> = (0..THREADS)
        .map(|i| {
            let counters = Arc::clone(&counters);
            thread::spawn(move || {
                let caller = ["anna", "bo"][i % 2];
                for _ in 0..REQUESTS {
                    counters.admit(key(caller)).end(Outcome::Served);
                }
            })
        })
        .collect();
    let mut counts = IncarnationCounts::new(snapshot(&counters, 0).host);
    while !workers.iter().all(thread::JoinHandle::is_finished) {
        counts.apply(snapshot(&counters, counts.sequence()));
    }
    counts.apply(snapshot(&counters, counts.sequence()));
    let admitted = counts
        .rows_changed_after(0)
        .into_iter()
        .map(|r| r.counts.admitted);
    assert_eq!(admitted.sum::<u64>(), THREADS as u64 * REQUESTS);
}

#[test]
fn latencies_are_unchanged_by_encoding_and_can_be_subtracted() {
    let mut latency = LatencyHistogram::default();
    for us in [3, 40, 500, 6_000, 70_000, 800_000] {
        latency.record(Duration::from_micros(us));
    }
    let bytes = postcard_bytes(&latency);
    let decoded: LatencyHistogram = postcard::from_bytes(&bytes).expect("the bytes are whole");
    assert_eq!(decoded, latency);
    let earlier = latency.clone();
    latency.record(Duration::from_secs(9));
    let since = latency.since(&earlier).expect("an earlier state");
    assert_eq!(since.request_count(), 1);
    assert_eq!(earlier.since(&latency), None);
}

fn postcard_bytes(latency: &LatencyHistogram) -> Vec<u8> {
    postcard::to_stdvec(latency).expect("latencies can be encoded")
}
