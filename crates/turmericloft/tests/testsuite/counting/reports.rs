//! Reports as their readers see them.

use std::time::Duration;

use turmericloft::{
    core::{
        Outcome, Step,
        counting::{
            CountKey, Resolution,
            report::{Completeness, GapReason, GroupBy, Report, Weights},
        },
        document::{Document, MeasurementBudget},
    },
    ops::report::{ReportFormat, parse_period},
};

use super::world::{Delivery, START_MS, World, name};

/// Counts one request that ends after `ms` milliseconds.
fn request(world: &mut World, caller: &str, service: &str, ms: u64, end: (Outcome, Step)) {
    let key = CountKey {
        caller: name(caller),
        service: name(service),
        kind: name(if service == "calendar" {
            "lookup"
        } else {
            "book"
        }),
    };
    let count = world.ledger.admit_at(key, world.now());
    let (outcome, step) = end;
    count.end_at(outcome, step, world.now() + Duration::from_millis(ms));
}

/// A few minutes of two callers; in the third minute the gateway crashes.
fn session(crash: bool) -> World {
    let mut world = World::new();
    for minute in 0..4 {
        for i in 0..20 {
            let served = (Outcome::Served, Step::Relayed);
            request(
                &mut world,
                "parents-web",
                "calendar",
                2 + i * minute,
                served,
            );
            request(&mut world, "road-app", "calendar", 3, served);
            request(&mut world, "parents-web", "booking", 20 + i, served);
        }
        for _ in 0..minute {
            let refused = (Outcome::Refused, Step::Queued);
            request(&mut world, "road-app", "calendar", 0, refused);
            let unknown = (Outcome::Unknown, Step::Sent);
            request(&mut world, "parents-web", "booking", 900, unknown);
        }
        world.admit(0);
        world.end(0, Outcome::Unfinished);
        world.run(60);
        if crash && minute == 2 {
            world.kill_gateway();
        }
    }
    world
}

/// Weights of a document in which a booking counts for five lookups.
fn weights() -> Weights {
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
    Weights::of(&document)
}

fn rendered(format: ReportFormat, by: GroupBy, crash: bool) -> String {
    let mut world = session(crash);
    world.weights = weights();
    let report = world.report_since(START_MS, by);
    format
        .render(&report, true)
        .expect("the report can be written")
}

#[test]
fn text_with_explanation() {
    let text = rendered(ReportFormat::Text, GroupBy::Caller, false);
    snapbox::assert_data_eq!(text, snapbox::file!["snapshots/by_caller.txt"]);
}

#[test]
fn text_by_kind_with_a_crash() {
    let text = rendered(ReportFormat::Text, GroupBy::Kind, true);
    snapbox::assert_data_eq!(text, snapbox::file!["snapshots/by_kind_crash.txt"]);
}

#[test]
fn json() {
    let text = rendered(ReportFormat::Json, GroupBy::Service, true);
    snapbox::assert_data_eq!(text, snapbox::file!["snapshots/by_service.json": Text]);
}

#[test]
fn csv() {
    let text = rendered(ReportFormat::Csv, GroupBy::Caller, true);
    snapbox::assert_data_eq!(text, snapbox::file!["snapshots/by_caller.csv"]);
}

#[test]
fn html() {
    let text = rendered(ReportFormat::Html, GroupBy::Caller, true);
    assert!(!text.contains("http"), "the page refers to another file");
    snapbox::assert_data_eq!(text, snapbox::file!["snapshots/by_caller.html": Text]);
}

#[test]
fn only_the_window_with_a_loss_is_incomplete() {
    let report = session(true).report_since(START_MS, GroupBy::Caller);
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
fn a_host_that_is_lost_is_shown_once_it_has_been_silent() {
    let mut world = session(false);
    let reason = |report: Report| report.gaps.first().map(|g| g.reason);
    assert_eq!(reason(world.report()), None);
    world.elapsed += Duration::from_secs(16);
    assert_eq!(reason(world.report()), Some(GapReason::Silent));
}

#[test]
fn periods_without_counts_at_their_edges_are_not_exact() {
    let mut world = session(false);
    let frozen_ms = world.now_ms() + 60_000;
    world.elapsed += Duration::from_secs(120);
    world.run(30);
    let report = world.report_since(frozen_ms, GroupBy::Caller);
    assert_eq!(report.gaps[0].reason, GapReason::LateCounts);
    assert_eq!(world.report().completeness, Completeness::Exact);
}

#[test]
fn counts_taken_while_the_log_service_was_down_fall_into_their_own_minutes() {
    let mut world = session(false);
    let down_from_ms = world.now_ms();
    for minute in 1..=5 {
        for _ in 0..minute {
            world.admit(0);
            world.end(0, Outcome::Served);
        }
        for _ in 0..60 {
            world.elapsed += Duration::from_secs(1);
            world.send_snapshot(Delivery::Whole);
            world.append(Delivery::Lost);
        }
    }
    world.run(30);
    let report = world.report_since(down_from_ms, GroupBy::Caller);
    assert_eq!(report.total.admitted, 15);
    let admitted: Vec<_> = report.windows.iter().map(|w| w.total.admitted).collect();
    assert!(
        admitted.iter().filter(|&&n| n > 0).count() >= 5,
        "{admitted:?}"
    );
}

#[test]
fn rounds_that_build_on_dropped_ones_are_not_counted() {
    let served = (Outcome::Served, Step::Relayed);
    let mut world = World::new();
    for _ in 0..10 {
        request(&mut world, "parents-web", "calendar", 3, served);
    }
    world.run(20);
    world.expire_log();
    request(&mut world, "road-app", "calendar", 3, served);
    world.run(60);
    let from_ms = world.now_ms();
    request(&mut world, "parents-web", "calendar", 3, served);
    world.run(60);
    let report = world.report_since(from_ms, GroupBy::Caller);
    assert_eq!(report.completeness, Completeness::Incomplete);
    assert_eq!(report.total.admitted, 0);
    // Every row is published again within 10 minutes; from then on periods are exact.
    world.run(600);
    let from_ms = world.now_ms();
    request(&mut world, "parents-web", "calendar", 3, served);
    world.run(10);
    let report = world.report_since(from_ms, GroupBy::Caller);
    assert_eq!(report.completeness, Completeness::Exact);
    assert_eq!(report.total.admitted, 1);
}

#[test]
fn a_line_says_which_share_of_its_times_is_known() {
    let served = (Outcome::Served, Step::Relayed);
    let budget = MeasurementBudget::default();
    let mut world = session(false);
    let start_ms = world.now_ms();
    let resolutions = [Resolution::Full, Resolution::Counts, Resolution::Full];
    for resolution in resolutions {
        world.ledger.set_resolution(resolution);
        world.publisher.set_pace(resolution, &budget);
        request(&mut world, "road-app", "calendar", 3, served);
        request(&mut world, "road-app", "calendar", 70, served);
        world.run(10);
    }
    // Times that were published before the resolution became coarser stay in the report.
    let line = world.report_since(start_ms, GroupBy::Caller).total;
    assert_eq!(line.timed_percent, 66.7);
    assert_eq!(line.p50, Some(Duration::from_micros(3_071)));
    assert_eq!(line.resolution, Resolution::Counts);
}

#[test]
fn an_unreadable_record_makes_a_report_incomplete() {
    let mut world = session(false);
    world.log.push(b"\xff".to_vec());
    let report = world.report();
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
