//! Every fault at every step from counting to reading back.

use std::{fmt::Write, time::Duration};

use strum::{Display, EnumIter, IntoEnumIterator};
use turmericloft::core::{
    Outcome,
    counting::report::{Completeness, GroupBy, Report},
};

use super::world::{Delivery, World};

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

/// Time for which a frozen process does nothing.
const FREEZE_S: u64 = 120;
/// Time for which the log service is down.
const LOG_DOWN_S: u64 = 300;
/// Time by which a slow message comes late.
const DELAY_S: u64 = 30;
/// Time after which every row is published again.
const ROLL_UP_S: u64 = 610;

struct Cell {
    whole: Completeness,
    afterwards: Completeness,
    admitted: u64,
    seen: u64,
}

/// Counts one request of each outcome, and two that stay open.
fn count(world: &mut World) {
    for outcome in Outcome::iter() {
        world.admit(0);
        world.end(world.open.len() - 1, outcome);
    }
    world.admit(1);
    world.admit(2);
}

/// Seconds in which one message of each has this fate, while requests are counted.
fn run_with(world: &mut World, seconds: u64, snapshot: Delivery, append: Delivery) {
    for second in 0..seconds {
        world.elapsed += Duration::from_secs(1);
        if second % 10 == 0 {
            count(world);
        }
        world.send_snapshot(snapshot);
        world.append(append);
    }
}

fn belongs_to_gateway(stage: Stage) -> bool {
    stage <= Stage::Sent
}

fn kill(world: &mut World, stage: Stage) {
    match stage {
        Stage::Counted => world.kill_gateway(),
        Stage::Sent => {
            world.send_snapshot(Delivery::Lost);
            world.kill_gateway();
        }
        Stage::Kept => {
            world.send_snapshot(Delivery::AnswerLost);
            world.kill_reporter();
        }
        Stage::Appended => {
            world.send_snapshot(Delivery::Whole);
            world.append(Delivery::AnswerLost);
            world.kill_reporter();
        }
        Stage::AnswerRead | Stage::RolledUp => {
            world.send_snapshot(Delivery::Whole);
            world.append(Delivery::Whole);
            world.kill_reporter();
        }
        Stage::ReadBack => drop(world.report()),
    }
}

fn freeze(world: &mut World, stage: Stage) {
    if belongs_to_gateway(stage) {
        world.elapsed += Duration::from_secs(FREEZE_S);
    } else if stage < Stage::ReadBack {
        // A frozen reporter neither takes snapshots nor appends.
        for _ in 0..FREEZE_S {
            world.elapsed += Duration::from_secs(1);
            world.send_snapshot(Delivery::Lost);
        }
    } else {
        let begun = world.history();
        world.run(FREEZE_S);
        drop(begun);
    }
}

fn deliver(world: &mut World, stage: Stage, delivery: Delivery) {
    match stage {
        Stage::Counted => {
            world.admit(0);
            let last = world.open.len() - 1;
            world.end(last, Outcome::Unfinished);
        }
        Stage::Sent | Stage::Kept => run_with(world, DELAY_S, delivery, Delivery::Whole),
        Stage::Appended | Stage::AnswerRead | Stage::RolledUp => {
            run_with(world, DELAY_S, Delivery::Whole, delivery);
        }
        Stage::ReadBack => {
            let records = world.log.clone();
            world.log.extend(records);
        }
    }
    world.deliver_late();
}

fn play(stage: Stage, fault: Fault) -> Cell {
    let mut world = World::new();
    count(&mut world);
    world.run(20);
    if stage == Stage::RolledUp {
        world.run(ROLL_UP_S);
    }
    count(&mut world);
    match fault {
        Fault::Killed => kill(&mut world, stage),
        Fault::Frozen => freeze(&mut world, stage),
        Fault::LogDown => run_with(&mut world, LOG_DOWN_S, Delivery::Whole, Delivery::Lost),
        Fault::Slow => deliver(&mut world, stage, Delivery::Late),
        Fault::AnswerLost => deliver(&mut world, stage, Delivery::AnswerLost),
        Fault::Duplicate => deliver(&mut world, stage, Delivery::Twice),
        Fault::Expired => world.expire_log(),
    }
    count(&mut world);
    world.run(ROLL_UP_S);
    let recovered_ms = world.now_ms();
    count(&mut world);
    world.run(60);
    world.stop_gateway();
    world.stop_reporter();
    if (stage, fault) == (Stage::ReadBack, Fault::Expired) {
        world.expire_log();
    }
    let report = world.report();
    assert_balanced(&report);
    let afterwards = world.report_since(recovered_ms, GroupBy::Caller);
    let seen = world.seen.values().flat_map(|callers| callers.values());
    Cell {
        whole: report.completeness,
        afterwards: afterwards.completeness,
        admitted: report.total.admitted,
        seen: seen.map(|s| s.admitted).sum(),
    }
}

fn assert_balanced(report: &Report) {
    let windows = report.windows.iter().map(|w| &w.total);
    for line in report.lines.iter().chain([&report.total]).chain(windows) {
        assert!(line.is_balanced(), "{line:?}");
    }
}

#[test]
fn every_fault_at_every_step_is_counted_or_shown() {
    let mut table = String::new();
    let mut cells = 0;
    for stage in Stage::iter() {
        for fault in Fault::iter() {
            let cell = play(stage, fault);
            let place = format!("{fault} at {stage}");
            assert!(cell.admitted <= cell.seen, "{place} counts too much");
            if cell.whole == Completeness::Exact {
                assert_eq!(cell.admitted, cell.seen, "{place} is not exact");
            }
            let missing = cell.seen - cell.admitted;
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
