//! Case `two-year`: counting and reporting on one node at the load that is expected in two years.

use std::{fs, time::Duration};

use tokio::time::sleep;
use turmericloft::core::document::MeasurementBudget;

use super::{
    Args, CountedLoad, CountingCost, ExperimentResult, LoadShape, Node, Printer, print,
    print_count_error,
};

const CASE: &str = "two-year";
/// Time before the measurement in which the first snapshots are sent and the governor adjusts the
/// resolution.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Bytes of a memory page.
const PAGE_BYTES: f64 = 4096.0;
const MIB: f64 = 1_048_576.0;

/// Runs the case and prints its figures.
pub(super) async fn run(
    args: &Args,
    seed: u64,
    cost: &CountingCost,
    figures: &Printer,
) -> ExperimentResult {
    let before_mib = resident_mib();
    let node = Node::start(MeasurementBudget::default(), *cost).await?;
    let shape = LoadShape {
        callers: args.two_year_callers,
        services: args.two_year_services,
        services_per_caller: args.services_per_caller,
    };
    let load = CountedLoad::start(node.counters.clone(), shape, args.two_year_rate, seed)?;
    sleep(SETTLING_TIME).await;
    let start = node.cost(cost);
    sleep(Duration::from_secs(args.two_year_seconds)).await;
    let end = node.cost(cost);
    let memory_mib = resident_mib() - before_mib;
    let admitted = load.stop();
    let rates = end.since(&start);
    print(figures, CASE, "core_share", rates.core_share, "cores");
    print(figures, CASE, "memory_mb", memory_mib, "MiB");
    print(figures, CASE, "bytes_per_s", rates.bytes_per_s, "B/s");
    print(figures, CASE, "appends_per_s", rates.appends_per_s, "1/s");
    let report = node.stop_and_read_report().await?;
    print_count_error(figures, CASE, &report, admitted);
    Ok(())
}

/// Resident memory of this process in MiB; 0 if it cannot be read.
fn resident_mib() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: f64 = pages.and_then(|p| p.parse().ok()).unwrap_or_default();
    pages * PAGE_BYTES / MIB
}
