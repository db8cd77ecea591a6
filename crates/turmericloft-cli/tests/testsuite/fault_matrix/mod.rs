//! Injects each fault at each point on the path of a guarded action, and seeded pairs of faults.
//!
//! The gateways run in the process of the tests, each on its own runtime, so that a fault is injected
//! exactly at its point: the gateway's thread blocks there until the injection is done. The stand-ins
//! for the backend servers count the runs.

mod cell;
mod crashing_request;
mod fault;
mod gateway;
mod hooks;
mod installation;
mod table;

use futures_util::{StreamExt, stream};
use rand::{SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use strum::IntoEnumIterator;
use turmericloft::util::fault_point::FaultPoint;

use self::{
    cell::{Cell, CellResult, IdKind, Injection},
    fault::Fault,
    table::print_table,
};

/// Number of cells that run concurrently.
const CONCURRENT_CELLS: usize = 4;
/// Number of fault pairs drawn.
const PAIR_COUNT: usize = 48;
/// Seed of the generator that draws the pairs.
const SEED: u64 = 20_261_203;

/// Fault points on the path of an action that is identified in this way.
fn points(id_kind: IdKind) -> Vec<FaultPoint> {
    let is_passed = |p: &FaultPoint| match p {
        FaultPoint::Forwarded => id_kind == IdKind::Issued,
        FaultPoint::ClaimAppended | FaultPoint::ClaimRead => id_kind == IdKind::OwnKey,
        _ => true,
    };
    FaultPoint::iter().filter(is_passed).collect()
}

fn single_fault_cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for id_kind in [IdKind::Issued, IdKind::OwnKey] {
        for point in points(id_kind) {
            for fault in Fault::iter() {
                cells.push(Cell::new(id_kind, vec![Injection { point, fault }]));
            }
        }
    }
    cells
}

fn fault_pair_cells() -> Vec<Cell> {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let faults: Vec<_> = Fault::iter().collect();
    let mut cells = Vec::new();
    for i in 0..PAIR_COUNT {
        let id_kind = [IdKind::Issued, IdKind::OwnKey][i % 2];
        let points = points(id_kind);
        let mut draw_injection = || Injection {
            point: *points.choose(&mut rng).unwrap(),
            fault: *faults.choose(&mut rng).unwrap(),
        };
        cells.push(Cell::new(id_kind, vec![draw_injection(), draw_injection()]));
    }
    cells
}

async fn run_cells(cells: Vec<Cell>) -> Vec<CellResult> {
    assert!(fail::has_failpoints(), "run the tests with --all-features");
    hooks::install_callbacks();
    let runs = cells.into_iter().map(Cell::run);
    stream::iter(runs)
        .buffered(CONCURRENT_CELLS)
        .collect()
        .await
}

fn assert_no_violations(results: &[CellResult]) {
    let violations: Vec<_> = results.iter().flat_map(CellResult::violations).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn guarded_action_with_any_fault_at_any_point_keeps_its_guarantees() {
    let results = run_cells(single_fault_cells()).await;
    print_table(&results);
    assert_no_violations(&results);
    let not_injected: Vec<_> = results.iter().filter(|r| !r.all_injected()).collect();
    assert!(
        not_injected.is_empty(),
        "cells with a fault that was not injected: {not_injected:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn guarded_action_with_seeded_fault_pairs_keeps_its_guarantees() {
    let results = run_cells(fault_pair_cells()).await;
    print_table(&results);
    assert_no_violations(&results);
}
