//! Random scenarios with crashes and with lost, duplicate and reordered messages: the counts of
//! every report are balanced, and an exact report equals the model's expected counts.

use std::{collections::BTreeMap, time::Duration};

use proptest::{
    prelude::*,
    test_runner::{Config, TestCaseError, TestRunner},
};
use turmericloft::core::{
    Outcome,
    counting::{
        RoundPart,
        report::{Completeness, GroupBy, History, Line, Period, Report},
    },
};

use super::simulation::{CallerCounts, Delivery, Simulation, name};

#[derive(Clone, Debug)]
enum Event {
    Admit(usize),
    End(usize, Outcome),
    Snapshot(Delivery),
    DelayedSnapshots,
    Append(Delivery),
    Advance(u64),
    KillGateway,
    StopGateway,
    KillReporter,
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Success),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::Duplicate),
        1 => Just(Delivery::Delayed),
    ]
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        3 => Just(Outcome::Served),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::NotRun),
        1 => Just(Outcome::Unknown),
        1 => Just(Outcome::Unfinished),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..3usize).prop_map(Event::Admit),
        6 => (any::<usize>(), outcome()).prop_map(|(i, o)| Event::End(i, o)),
        6 => delivery().prop_map(Event::Snapshot),
        2 => Just(Event::DelayedSnapshots),
        6 => delivery().prop_map(Event::Append),
        6 => (1..20u64).prop_map(Event::Advance),
        1 => Just(Event::KillGateway),
        1 => Just(Event::StopGateway),
        1 => Just(Event::KillReporter),
    ]
}

/// Events of a scenario, and seeds for the order in which its records are read.
#[derive(Clone, Debug)]
struct Scenario {
    events: Vec<Event>,
    order: Vec<usize>,
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let events = prop::collection::vec(event(), 1..150);
    let order = prop::collection::vec(any::<usize>(), 0..40);
    (events, order).prop_map(|(events, order)| Scenario { events, order })
}

/// State after a scenario.
struct Run {
    sim: Simulation,
    /// Whether last counts may be lost: a gateway was killed, or a reporter that had them.
    has_loss: bool,
}

/// Runs a scenario, then stops the last gateway and the reporter in an orderly way.
fn run_scenario(events: &[Event]) -> Run {
    let mut sim = Simulation::new();
    let mut has_loss = false;
    for event in events {
        match *event {
            Event::Admit(caller) => sim.admit(caller),
            Event::End(which, outcome) => sim.end(which, outcome),
            Event::Snapshot(delivery) => sim.send_snapshot(delivery),
            Event::DelayedSnapshots => sim.deliver_delayed(),
            Event::Append(delivery) => sim.append(delivery),
            Event::Advance(seconds) => sim.elapsed += Duration::from_secs(seconds),
            Event::KillGateway => {
                sim.kill_gateway();
                has_loss = true;
            }
            Event::StopGateway => {
                sim.stop_gateway();
                sim.start_gateway();
            }
            Event::KillReporter => {
                has_loss |= sim.publisher.incarnations().any(|h| h.is_last());
                sim.kill_reporter();
                sim.acked = 0;
            }
        }
    }
    sim.elapsed += Duration::from_secs(1);
    sim.stop_gateway();
    sim.stop_reporter();
    Run { sim, has_loss }
}

/// Reads the records in the order of the scenario, some of them twice.
fn read_history(sim: &Simulation, order: &[usize]) -> History {
    let mut records: Vec<&Vec<u8>> = sim.log.iter().collect();
    let duplicates: Vec<_> = order.iter().map(|i| records[i % records.len()]).collect();
    records.extend(duplicates);
    for (i, j) in order.iter().enumerate() {
        let (i, j) = (i % records.len(), j % records.len());
        records.swap(i, j);
    }
    let mut history = History::default();
    for record in records {
        history.add_record(record, 0);
    }
    history
}

fn build_report(history: &History, sim: &Simulation) -> Report {
    let period = Period {
        from_ms: 0,
        to_ms: sim.now_ms(),
    };
    Report::build(
        history,
        &name("test"),
        GroupBy::Caller,
        period,
        &sim.weights,
    )
}

fn line_counts(line: &Line) -> CallerCounts {
    let ended = [
        (Outcome::Served, line.served),
        (Outcome::Refused, line.refused),
        (Outcome::NotRun, line.not_run),
        (Outcome::Unknown, line.unknown),
        (Outcome::Unfinished, line.unfinished),
    ];
    CallerCounts {
        admitted: line.admitted,
        ended: ended.into_iter().filter(|(_, n)| *n > 0).collect(),
    }
}

/// Compares the counts that a reader found with the expected ones.
fn check_counts(
    run: &Run,
    found: &BTreeMap<String, CallerCounts>,
    exact: bool,
) -> Result<(), TestCaseError> {
    let expected = run.sim.expected_in_log();
    for (caller, found) in found {
        let expected = expected.get(caller).cloned().unwrap_or_default();
        prop_assert!(
            found.admitted <= expected.admitted,
            "{caller} has more requests than expected"
        );
    }
    if exact {
        prop_assert_eq!(found, &expected);
    }
    prop_assert!(
        exact || run.has_loss,
        "the report is incomplete without a loss"
    );
    Ok(())
}

fn check_report(run: &Run, order: &[usize]) -> Result<(), TestCaseError> {
    let report = build_report(&read_history(&run.sim, order), &run.sim);
    let windows = report.windows.iter().map(|w| &w.total);
    for line in report.lines.iter().chain([&report.total]).chain(windows) {
        prop_assert!(line.is_balanced(), "{line:?}");
    }
    let in_windows: u64 = report.windows.iter().map(|w| w.total.admitted).sum();
    prop_assert_eq!(in_windows, report.total.admitted);
    let found = report
        .lines
        .iter()
        .map(|line| (line.name.clone(), line_counts(line)))
        .collect();
    check_counts(run, &found, report.completeness == Completeness::Exact)
}

/// A deliberately wrong reader, which sums cumulative counts over all records.
fn check_sum_of_all(run: &Run) -> Result<(), TestCaseError> {
    let mut found: BTreeMap<String, CallerCounts> = BTreeMap::new();
    for record in &run.sim.log {
        for row in RoundPart::decode(record).expect("a record").rows {
            let counts = found.entry(row.key.caller.to_string()).or_default();
            counts.admitted += row.counts.admitted;
        }
    }
    check_counts(run, &found, false)
}

proptest! {
    #![proptest_config(Config::with_cases(400))]

    #[test]
    fn counts_are_balanced_and_exact_reports_equal_the_expected_counts(scenario in scenario()) {
        let run = run_scenario(&scenario.events);
        check_report(&run, &scenario.order)?;
    }
}

#[test]
fn a_reader_that_sums_all_records_fails_the_check() {
    let mut runner = TestRunner::new(Config {
        failure_persistence: None,
        ..Config::with_cases(400)
    });
    let result = runner.run(&scenario(), |scenario| {
        let run = run_scenario(&scenario.events);
        let run = Run {
            has_loss: true,
            ..run
        };
        check_sum_of_all(&run)
    });
    let failure = result
        .expect_err("the wrong reader fails the check")
        .to_string();
    assert!(
        failure.contains("has more requests than expected"),
        "{failure}"
    );
}
