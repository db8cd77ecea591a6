//! Every fault at every stage from counting a request to reading its report: no request is counted
//! twice, and a report that misses one is incomplete.

use std::{fmt::Write, time::Duration};

use strum::{Display, EnumIter, IntoEnumIterator};
use turmericloft::core::{
    Outcome,
    counting::report::{Completeness, GroupBy, Report},
};

use super::simulation::{Delivery, Simulation};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Stage {
    Counted,
    Sent,
    Kept,
    Appended,
    AnswerRead,
    RolledUp,
    ReadBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Fault {
    Killed,
    Frozen,
    LogDown,
    Slow,
    AnswerLost,
    Duplicate,
    Expired,
}

/// Time for which a frozen process is suspended, in seconds.
const FREEZE_S: u64 = 120;
/// Time for which the log service is unavailable, in seconds.
const LOG_DOWN_S: u64 = 300;
/// Time by which a slow message is delayed, in seconds.
const DELAY_S: u64 = 30;
/// Time after which a full round has published every row again, in seconds.
const FULL_ROUND_S: u64 = 610;

/// Result of one fault at one stage.
struct Cell {
    /// Completeness of the report of the whole run.
    whole: Completeness,
    /// Completeness of the report of the time after the recovery.
    afterwards: Completeness,
    admitted: u64,
    expected: u64,
}

/// Counts one request of each outcome, and two that stay in flight.
fn count_requests(sim: &mut Simulation) {
    for outcome in Outcome::iter() {
        sim.admit(0);
        sim.end(sim.in_flight.len() - 1, outcome);
    }
    sim.admit(1);
    sim.admit(2);
}

/// Counts requests for `seconds`, with one snapshot and one append per second of the given
/// deliveries.
fn run_with(sim: &mut Simulation, seconds: u64, snapshot: Delivery, append: Delivery) {
    for second in 0..seconds {
        sim.elapsed += Duration::from_secs(1);
        if second % 10 == 0 {
            count_requests(sim);
        }
        sim.send_snapshot(snapshot);
        sim.append(append);
    }
}

fn is_in_gateway(stage: Stage) -> bool {
    stage <= Stage::Sent
}

fn kill(sim: &mut Simulation, stage: Stage) {
    match stage {
        Stage::Counted => sim.kill_gateway(),
        Stage::Sent => {
            sim.send_snapshot(Delivery::Lost);
            sim.kill_gateway();
        }
        Stage::Kept => {
            sim.send_snapshot(Delivery::ResponseLost);
            sim.kill_reporter();
        }
        Stage::Appended => {
            sim.send_snapshot(Delivery::Success);
            sim.append(Delivery::ResponseLost);
            sim.kill_reporter();
        }
        Stage::AnswerRead | Stage::RolledUp => {
            sim.send_snapshot(Delivery::Success);
            sim.append(Delivery::Success);
            sim.kill_reporter();
        }
        Stage::ReadBack => drop(sim.report()),
    }
}

fn freeze(sim: &mut Simulation, stage: Stage) {
    if is_in_gateway(stage) {
        sim.elapsed += Duration::from_secs(FREEZE_S);
    } else if stage < Stage::ReadBack {
        // A frozen reporter neither receives snapshots nor appends records.
        for _ in 0..FREEZE_S {
            sim.elapsed += Duration::from_secs(1);
            sim.send_snapshot(Delivery::Lost);
        }
    } else {
        let history = sim.history();
        sim.run(FREEZE_S);
        drop(history);
    }
}

fn disturb_messages(sim: &mut Simulation, stage: Stage, delivery: Delivery) {
    match stage {
        Stage::Counted => {
            sim.admit(0);
            let last = sim.in_flight.len() - 1;
            sim.end(last, Outcome::Unfinished);
        }
        Stage::Sent | Stage::Kept => run_with(sim, DELAY_S, delivery, Delivery::Success),
        Stage::Appended | Stage::AnswerRead | Stage::RolledUp => {
            run_with(sim, DELAY_S, Delivery::Success, delivery);
        }
        Stage::ReadBack => {
            let records = sim.log.clone();
            sim.log.extend(records);
        }
    }
    sim.deliver_delayed();
}

fn run_cell(stage: Stage, fault: Fault) -> Cell {
    let mut sim = Simulation::new();
    count_requests(&mut sim);
    sim.run(20);
    if stage == Stage::RolledUp {
        sim.run(FULL_ROUND_S);
    }
    count_requests(&mut sim);
    match fault {
        Fault::Killed => kill(&mut sim, stage),
        Fault::Frozen => freeze(&mut sim, stage),
        Fault::LogDown => run_with(&mut sim, LOG_DOWN_S, Delivery::Success, Delivery::Lost),
        Fault::Slow => disturb_messages(&mut sim, stage, Delivery::Delayed),
        Fault::AnswerLost => disturb_messages(&mut sim, stage, Delivery::ResponseLost),
        Fault::Duplicate => disturb_messages(&mut sim, stage, Delivery::Duplicate),
        Fault::Expired => sim.expire_log(),
    }
    count_requests(&mut sim);
    sim.run(FULL_ROUND_S);
    let recovered_ms = sim.now_ms();
    count_requests(&mut sim);
    sim.run(60);
    sim.stop_gateway();
    sim.stop_reporter();
    if (stage, fault) == (Stage::ReadBack, Fault::Expired) {
        sim.expire_log();
    }
    let report = sim.report();
    assert_balanced(&report);
    let afterwards = sim.report_since(recovered_ms, GroupBy::Caller);
    let expected = sim.expected.values().flat_map(|callers| callers.values());
    Cell {
        whole: report.completeness,
        afterwards: afterwards.completeness,
        admitted: report.total.admitted,
        expected: expected.map(|c| c.admitted).sum(),
    }
}

fn assert_balanced(report: &Report) {
    let windows = report.windows.iter().map(|w| &w.total);
    for line in report.lines.iter().chain([&report.total]).chain(windows) {
        assert!(line.is_balanced(), "{line:?}");
    }
}

#[test]
fn every_fault_at_every_stage_leaves_exact_counts_or_an_incomplete_report() {
    let mut table = String::new();
    let mut cells = 0;
    for stage in Stage::iter() {
        for fault in Fault::iter() {
            let cell = run_cell(stage, fault);
            let case = format!("{fault} at {stage}");
            assert!(
                cell.admitted <= cell.expected,
                "{case} counts too many requests"
            );
            if cell.whole == Completeness::Exact {
                assert_eq!(cell.admitted, cell.expected, "{case} is not exact");
            }
            let missing = cell.expected - cell.admitted;
            let _ = writeln!(
                table,
                "{stage:<11} {fault:<11} {:<10} missing {missing:<3} afterwards {}",
                cell.whole, cell.afterwards
            );
            cells += 1;
        }
    }
    let _ = writeln!(table, "{cells} cells");
    println!("{table}");
    snapbox::assert_data_eq!(table, snapbox::file!["snapshots/fault_matrix.txt"]);
}
