//! Counts of random sessions with crashes, losses, repetition and reordering add up, and a
//! report that calls itself exact equals what the test saw.

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

use super::world::{Delivery, Seen, World, name};

#[derive(Clone, Debug)]
enum Event {
    Admit(usize),
    End(usize, Outcome),
    Snapshot(Delivery),
    LateSnapshots,
    Append(Delivery),
    Pass(u64),
    KillGateway,
    StopGateway,
    KillReporter,
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Whole),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::Twice),
        1 => Just(Delivery::Late),
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
        2 => Just(Event::LateSnapshots),
        6 => delivery().prop_map(Event::Append),
        6 => (1..20u64).prop_map(Event::Pass),
        1 => Just(Event::KillGateway),
        1 => Just(Event::StopGateway),
        1 => Just(Event::KillReporter),
    ]
}

/// A session, and the order in which its records are read.
#[derive(Clone, Debug)]
struct Session {
    events: Vec<Event>,
    order: Vec<usize>,
}

fn session() -> impl Strategy<Value = Session> {
    let events = prop::collection::vec(event(), 1..150);
    let order = prop::collection::vec(any::<usize>(), 0..40);
    (events, order).prop_map(|(events, order)| Session { events, order })
}

/// What a session left behind.
struct Run {
    world: World,
    gateway_killed: bool,
}

/// Plays a session; its last gateway and its reporter stop in order.
fn play(events: &[Event]) -> Run {
    let mut world = World::new();
    let mut gateway_killed = false;
    for event in events {
        match *event {
            Event::Admit(caller) => world.admit(caller),
            Event::End(which, outcome) => world.end(which, outcome),
            Event::Snapshot(delivery) => world.send_snapshot(delivery),
            Event::LateSnapshots => world.deliver_late(),
            Event::Append(delivery) => world.append(delivery),
            Event::Pass(seconds) => world.elapsed += Duration::from_secs(seconds),
            Event::KillGateway => {
                world.kill_gateway();
                gateway_killed = true;
            }
            Event::StopGateway => {
                world.stop_gateway();
                world.start_gateway();
            }
            Event::KillReporter => {
                gateway_killed |= world.publisher.incarnations().any(|h| h.is_last());
                world.kill_reporter();
                world.held = 0;
            }
        }
    }
    world.elapsed += Duration::from_secs(1);
    world.stop_gateway();
    world.stop_reporter();
    Run {
        world,
        gateway_killed,
    }
}

/// Reads the records in an order of the session's own, some of them twice.
fn newest(world: &World, order: &[usize]) -> History {
    let mut records: Vec<&Vec<u8>> = world.log.iter().collect();
    let repeated: Vec<_> = order.iter().map(|i| records[i % records.len()]).collect();
    records.extend(repeated);
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

fn report(history: &History, world: &World) -> Report {
    let period = Period {
        from_ms: 0,
        to_ms: world.now_ms(),
    };
    Report::build(
        history,
        &name("test"),
        GroupBy::Caller,
        period,
        &world.weights,
    )
}

fn counted(line: &Line) -> Seen {
    let ended = [
        (Outcome::Served, line.served),
        (Outcome::Refused, line.refused),
        (Outcome::NotRun, line.not_run),
        (Outcome::Unknown, line.unknown),
        (Outcome::Unfinished, line.unfinished),
    ];
    Seen {
        admitted: line.admitted,
        ended: ended.into_iter().filter(|(_, n)| *n > 0).collect(),
    }
}

/// Compares what a reader found with what the session saw.
fn check(run: &Run, found: &BTreeMap<String, Seen>, exact: bool) -> Result<(), TestCaseError> {
    let seen = run.world.seen_in_log();
    for (caller, found) in found {
        let seen = seen.get(caller).cloned().unwrap_or_default();
        prop_assert!(found.admitted <= seen.admitted, "{caller} has too many");
    }
    if exact {
        prop_assert_eq!(found, &seen);
    }
    prop_assert!(exact || run.gateway_killed, "incomplete without a loss");
    Ok(())
}

fn check_report(run: &Run, order: &[usize]) -> Result<(), TestCaseError> {
    let report = report(&newest(&run.world, order), &run.world);
    let windows = report.windows.iter().map(|w| &w.total);
    for line in report.lines.iter().chain([&report.total]).chain(windows) {
        prop_assert!(line.is_balanced(), "{line:?}");
    }
    let in_windows: u64 = report.windows.iter().map(|w| w.total.admitted).sum();
    prop_assert_eq!(in_windows, report.total.admitted);
    let found = report
        .lines
        .iter()
        .map(|line| (line.name.clone(), counted(line)))
        .collect();
    check(run, &found, report.completeness == Completeness::Exact)
}

/// A reader that is wrong on purpose: it sums all records in place of taking the newest.
fn check_sum_of_all(run: &Run) -> Result<(), TestCaseError> {
    let mut found: BTreeMap<String, Seen> = BTreeMap::new();
    for record in &run.world.log {
        for row in RoundPart::decode(record).expect("a record").rows {
            let seen = found.entry(row.key.caller.to_string()).or_default();
            seen.admitted += row.counts.admitted;
        }
    }
    check(run, &found, false)
}

proptest! {
    #![proptest_config(Config::with_cases(400))]

    #[test]
    fn counts_add_up_and_exact_reports_equal_what_was_seen(session in session()) {
        let run = play(&session.events);
        check_report(&run, &session.order)?;
    }
}

#[test]
fn a_reader_that_sums_all_records_is_caught() {
    let mut runner = TestRunner::new(Config {
        failure_persistence: None,
        ..Config::with_cases(400)
    });
    let result = runner.run(&session(), |session| {
        let run = play(&session.events);
        let killed = Run {
            gateway_killed: true,
            ..run
        };
        check_sum_of_all(&killed)
    });
    let failure = result.expect_err("the wrong reader is caught").to_string();
    assert!(failure.contains("has too many"), "{failure}");
}
