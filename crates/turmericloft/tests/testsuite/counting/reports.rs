//! Rendered reports, and the gaps and completeness that they show.

use std::time::Duration;

use turmericloft::{
    core::{
        Outcome, Step,
        counting::{
            CountKey, Resolution,
            report::{Completeness, GapReason, GroupBy, KindWeights, Report},
        },
        document::{Document, MeasurementBudget},
    },
    ops::report::{ReportFormat, parse_period},
};

use super::simulation::{Delivery, START_MS, Simulation, name};

/// Counts one request that ends after `ms` milliseconds.
fn count_request(sim: &mut Simulation, caller: &str, service: &str, ms: u64, end: (Outcome, Step)) {
    let key = CountKey {
        caller: name(caller),
        service: name(service),
        kind: name(if service == "calendar" {
            "lookup"
        } else {
            "book"
        }),
    };
    let request = sim.counters.admit_at(key, sim.now());
    let (outcome, step) = end;
    request.end_at(outcome, step, sim.now() + Duration::from_millis(ms));
}

/// Four minutes of requests of two callers; with `crash`, the gateway crashes after the third.
fn scenario(crash: bool) -> Simulation {
    let mut sim = Simulation::new();
    for minute in 0..4 {
        for i in 0..20 {
            let served = (Outcome::Served, Step::Relayed);
            count_request(&mut sim, "parents-web", "calendar", 2 + i * minute, served);
            count_request(&mut sim, "road-app", "calendar", 3, served);
            count_request(&mut sim, "parents-web", "booking", 20 + i, served);
        }
        for _ in 0..minute {
            let refused = (Outcome::Refused, Step::Queued);
            count_request(&mut sim, "road-app", "calendar", 0, refused);
            let unknown = (Outcome::Unknown, Step::Sent);
            count_request(&mut sim, "parents-web", "booking", 900, unknown);
        }
        sim.admit(0);
        sim.end(0, Outcome::Unfinished);
        sim.run(60);
        if crash && minute == 2 {
            sim.kill_gateway();
        }
    }
    sim
}

/// Weights of a document in which a booking has five times the weight of a lookup.
fn weights() -> KindWeights {
    let kinds = |method: &str, name: &str, handling: &str, weight: u32| {
        format!(
            "kinds = [{{ name = \"{name}\", method = \"{method}\", handling = \"{handling}\", \
             weight = {weight} }}]\nendpoints = []\n"
        )
    };
    let service = |name: &str| format!("[[services]]\nname = \"{name}\"\ndeadline_ms = 1000\n");
    let text = [
        "schema = 1\nzones = []\ncallers = []\n".to_owned(),
        service("calendar"),
        kinds("GET", "lookup", "idempotent", 1),
        service("booking"),
        kinds("POST", "book", "guarded", 5),
    ];
    let document = Document::parse(&text.concat()).expect("the document can be read");
    KindWeights::from_document(&document)
}

fn render_report(format: ReportFormat, by: GroupBy, crash: bool) -> String {
    let mut sim = scenario(crash);
    sim.weights = weights();
    let report = sim.report_since(START_MS, by);
    format
        .render(&report, true)
        .expect("the report can be written")
}

#[test]
fn text_by_caller_with_explanation() {
    let text = render_report(ReportFormat::Text, GroupBy::Caller, false);
    snapbox::assert_data_eq!(text, snapbox::file!["snapshots/by_caller.txt"]);
}

#[test]
fn text_by_kind_with_a_crash() {
    let text = render_report(ReportFormat::Text, GroupBy::Kind, true);
    snapbox::assert_data_eq!(text, snapbox::file!["snapshots/by_kind_crash.txt"]);
}

#[test]
fn json_by_service_with_a_crash() {
    let text = render_report(ReportFormat::Json, GroupBy::Service, true);
    snapbox::assert_data_eq!(text, snapbox::file!["snapshots/by_service.json": Text]);
}

#[test]
fn csv_by_caller_with_a_crash() {
    let text = render_report(ReportFormat::Csv, GroupBy::Caller, true);
    snapbox::assert_data_eq!(text, snapbox::file!["snapshots/by_caller.csv"]);
}

#[test]
fn html_by_caller_with_a_crash() {
    let text = render_report(ReportFormat::Html, GroupBy::Caller, true);
    assert!(!text.contains("http"), "the page refers to another file");
    snapbox::assert_data_eq!(text, snapbox::file!["snapshots/by_caller.html": Text]);
}

#[test]
fn only_the_window_with_a_loss_is_incomplete() {
    let report = scenario(true).report_since(START_MS, GroupBy::Caller);
    let crash_ms = report.gaps[0].from_ms;
    for window in &report.windows {
        let has_loss = (window.period.from_ms..window.period.to_ms).contains(&crash_ms);
        let expected = if has_loss {
            Completeness::Incomplete
        } else {
            Completeness::Exact
        };
        assert_eq!(window.total.completeness, expected, "{:?}", window.period);
    }
    assert_eq!(report.completeness, Completeness::Incomplete);
}

#[test]
fn a_lost_host_is_a_gap_once_its_silence_exceeds_the_grace_time() {
    let mut sim = scenario(false);
    let reason = |report: Report| report.gaps.first().map(|g| g.reason);
    assert_eq!(reason(sim.report()), None);
    sim.elapsed += Duration::from_secs(16);
    assert_eq!(reason(sim.report()), Some(GapReason::Silent));
}

#[test]
fn a_period_without_counts_near_its_start_is_incomplete() {
    let mut sim = scenario(false);
    let frozen_ms = sim.now_ms() + 60_000;
    sim.elapsed += Duration::from_secs(120);
    sim.run(30);
    let report = sim.report_since(frozen_ms, GroupBy::Caller);
    assert_eq!(report.gaps[0].reason, GapReason::LateCounts);
    assert_eq!(sim.report().completeness, Completeness::Exact);
}

#[test]
fn counts_made_while_the_log_service_was_unavailable_keep_their_minutes() {
    let mut sim = scenario(false);
    let down_from_ms = sim.now_ms();
    for minute in 1..=5 {
        for _ in 0..minute {
            sim.admit(0);
            sim.end(0, Outcome::Served);
        }
        for _ in 0..60 {
            sim.elapsed += Duration::from_secs(1);
            sim.send_snapshot(Delivery::Success);
            sim.append(Delivery::Lost);
        }
    }
    sim.run(30);
    let report = sim.report_since(down_from_ms, GroupBy::Caller);
    assert_eq!(report.total.admitted, 15);
    let admitted: Vec<_> = report.windows.iter().map(|w| w.total.admitted).collect();
    assert!(
        admitted.iter().filter(|&&n| n > 0).count() >= 5,
        "{admitted:?}"
    );
}

#[test]
fn rounds_whose_base_was_dropped_are_not_counted() {
    let served = (Outcome::Served, Step::Relayed);
    let mut sim = Simulation::new();
    for _ in 0..10 {
        count_request(&mut sim, "parents-web", "calendar", 3, served);
    }
    sim.run(20);
    sim.expire_log();
    count_request(&mut sim, "road-app", "calendar", 3, served);
    sim.run(60);
    let from_ms = sim.now_ms();
    count_request(&mut sim, "parents-web", "calendar", 3, served);
    sim.run(60);
    let report = sim.report_since(from_ms, GroupBy::Caller);
    assert_eq!(report.completeness, Completeness::Incomplete);
    assert_eq!(report.total.admitted, 0);
    // A full round is published within 10 minutes; from then on periods are exact.
    sim.run(600);
    let from_ms = sim.now_ms();
    count_request(&mut sim, "parents-web", "calendar", 3, served);
    sim.run(10);
    let report = sim.report_since(from_ms, GroupBy::Caller);
    assert_eq!(report.completeness, Completeness::Exact);
    assert_eq!(report.total.admitted, 1);
}

#[test]
fn a_line_shows_the_share_of_requests_with_a_recorded_latency() {
    let served = (Outcome::Served, Step::Relayed);
    let budget = MeasurementBudget::default();
    let mut sim = scenario(false);
    let start_ms = sim.now_ms();
    let resolutions = [Resolution::Full, Resolution::Counts, Resolution::Full];
    for resolution in resolutions {
        sim.counters.set_resolution(resolution);
        sim.publisher.set_resolution_and_budget(resolution, &budget);
        count_request(&mut sim, "road-app", "calendar", 3, served);
        count_request(&mut sim, "road-app", "calendar", 70, served);
        sim.run(10);
    }
    // Latencies that were published before the resolution became coarser remain in the report.
    let line = sim.report_since(start_ms, GroupBy::Caller).total;
    assert_eq!(line.timed_percent, 66.7);
    assert_eq!(line.p50, Some(Duration::from_micros(3_071)));
    assert_eq!(line.resolution, Resolution::Counts);
}

#[test]
fn an_unreadable_record_makes_a_report_incomplete() {
    let mut sim = scenario(false);
    sim.log.push(b"\xff".to_vec());
    let report = sim.report();
    assert_eq!(report.gaps[0].reason, GapReason::UnreadableRecord);
}

#[test]
fn a_period_needs_a_number_and_a_unit() {
    assert_eq!(parse_period("15m"), Ok(Duration::from_secs(900)));
    let e = parse_period("soon").expect_err("no period").to_string();
    snapbox::assert_data_eq!(
        e,
        snapbox::str!["`soon` is not a period: write a number and a unit of s, m, h, as in `15m`"]
    );
    assert!(parse_period("0s").is_err());
}
