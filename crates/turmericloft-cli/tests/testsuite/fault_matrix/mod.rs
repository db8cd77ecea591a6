//! Every fault at every point of the path of a guarded action, and pairs of faults.
//!
//! Gateways run in one process here, each on a runtime of its own, so that a fault can be injected
//! at the very point: the gateway's thread waits there until it is done. Runs are counted by the
//! stand-ins for the backend servers.

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
    cell::{Cell, Injection, Naming, Tried},
    fault::Fault,
    table::print_table,
};

/// Cells that run at the same time.
const AT_ONCE: usize = 4;
/// Pairs of faults drawn.
const PAIRS: usize = 48;
const SEED: u64 = 20_261_203;

/// Points that an action of this naming passes.
fn points(naming: Naming) -> Vec<FaultPoint> {
    let passed = |p: &FaultPoint| match p {
        FaultPoint::Forwarded => naming == Naming::Issued,
        FaultPoint::ClaimAppended | FaultPoint::ClaimRead => naming == Naming::OwnKey,
        _ => true,
    };
    FaultPoint::iter().filter(passed).collect()
}

fn single_faults() -> Vec<Cell> {
    let mut cells = Vec::new();
    for naming in [Naming::Issued, Naming::OwnKey] {
        for point in points(naming) {
            for fault in Fault::iter() {
                cells.push(Cell::new(naming, vec![Injection { point, fault }]));
            }
        }
    }
    cells
}

fn pairs_of_faults() -> Vec<Cell> {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let faults: Vec<_> = Fault::iter().collect();
    let mut cells = Vec::new();
    for i in 0..PAIRS {
        let naming = [Naming::Issued, Naming::OwnKey][i % 2];
        let points = points(naming);
        let mut draw = || Injection {
            point: *points.choose(&mut rng).unwrap(),
            fault: *faults.choose(&mut rng).unwrap(),
        };
        cells.push(Cell::new(naming, vec![draw(), draw()]));
    }
    cells
}

async fn run(cells: Vec<Cell>) -> Vec<Tried> {
    assert!(fail::has_failpoints(), "run the tests with --all-features");
    hooks::install();
    let runs = cells.into_iter().map(Cell::run);
    stream::iter(runs).buffered(AT_ONCE).collect().await
}

fn check(tried: &[Tried]) {
    let broken: Vec<_> = tried.iter().flat_map(Tried::violations).collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn every_fault_at_every_point() {
    let tried = run(single_faults()).await;
    print_table(&tried);
    check(&tried);
    let missed: Vec<_> = tried.iter().filter(|t| !t.all_injected()).collect();
    assert!(missed.is_empty(), "cells not tried: {missed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn pairs_of_faults_drawn_by_seed() {
    let tried = run(pairs_of_faults()).await;
    print_table(&tried);
    check(&tried);
}
