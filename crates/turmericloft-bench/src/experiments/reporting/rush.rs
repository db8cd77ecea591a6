//! Case `rush`: ten times the base rate of requests, and whether the cost stays within its budget.

use std::time::Duration;

use tokio::time::sleep;
use turmericloft::core::document::MeasurementBudget;

use super::{
    Args, CountedLoad, CountingCost, ExperimentResult, LoadShape, Node, NodeCost, Printer, print,
    print_count_error,
};

const CASE: &str = "rush";
/// Time at the base rate before the rush.
const BASE_DURATION: Duration = Duration::from_secs(8);
/// Rate during the rush in multiples of the base rate.
const RUSH_FACTOR: f64 = 10.0;
const SHAPE: LoadShape = LoadShape {
    callers: 500,
    services: 8,
    services_per_caller: 3,
};

/// Runs the case and prints its figures.
pub(super) async fn run(
    args: &Args,
    seed: u64,
    cost: &CountingCost,
    figures: &Printer,
) -> ExperimentResult {
    let node = Node::start(MeasurementBudget::default(), *cost).await?;
    let base = args.rush_base_rate;
    let load = CountedLoad::start(node.counters.clone(), SHAPE, base, seed)?;
    sleep(BASE_DURATION).await;
    load.set_rate(base * RUSH_FACTOR);
    let start = node.cost(cost);
    sleep(Duration::from_secs(args.rush_seconds)).await;
    let end = node.cost(cost);
    load.set_rate(base);
    let admitted = load.stop();
    print_overrun(figures, &node, &start, &end);
    let report = node.stop_and_read_report().await?;
    print_count_error(figures, CASE, &report, admitted);
    Ok(())
}

fn print_overrun(figures: &Printer, node: &Node, start: &NodeCost, end: &NodeCost) {
    let (rates, budget) = (end.since(start), node.budget());
    let core = rates.core_share / budget.core_share;
    let bytes = rates.bytes_per_s / budget.bytes_per_s as f64;
    let overrun = (core.max(bytes) - 1.0).max(0.0);
    print(figures, CASE, "budget_overrun_share", overrun, "share");
    print(figures, CASE, "core_share", rates.core_share, "cores");
    print(figures, CASE, "bytes_per_s", rates.bytes_per_s, "B/s");
    print(figures, CASE, "appends_per_s", rates.appends_per_s, "1/s");
}
