//! Measures the cost of counting and reporting requests, and compares the counts with those of the
//! load.

mod counted_load;
mod counting_cost;
mod measured_thread;
mod node;
mod rush;
mod steady;
mod two_year;

use std::time::Duration;

use turmericloft::core::counting::report::{Completeness, Report};

use self::{
    counted_load::{CountedLoad, LoadShape},
    counting_cost::CountingCost,
    measured_thread::MeasuredThread,
    node::{Node, NodeCost},
};
use super::ExperimentResult;
use crate::figure::{Figure, Printer};

/// Measures the cost of counting and reporting against its budget, and compares the counts with
/// those of the load
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Requests per second through the gateway in case `steady`
    #[arg(long, default_value_t = 1_000.0)]
    steady_rate: f64,
    /// Duration of the load in seconds in case `steady`
    #[arg(long, default_value_t = 20)]
    steady_seconds: u64,
    /// Requests counted per second on one node in case `two-year`
    #[arg(long, default_value_t = 5_200.0)]
    two_year_rate: f64,
    /// Duration of the load in seconds in case `two-year`
    #[arg(long, default_value_t = 40)]
    two_year_seconds: u64,
    /// Number of callers in case `two-year`
    #[arg(long, default_value_t = 5_000)]
    two_year_callers: usize,
    /// Number of services in case `two-year`
    #[arg(long, default_value_t = 180)]
    two_year_services: usize,
    /// Number of services that each caller uses in case `two-year`
    #[arg(long, default_value_t = 3)]
    services_per_caller: usize,
    /// Requests counted per second at the base rate in case `rush`
    #[arg(long, default_value_t = 1_000.0)]
    rush_base_rate: f64,
    /// Duration in seconds of the tenfold rate in case `rush`
    #[arg(long, default_value_t = 40)]
    rush_seconds: u64,
}

/// Runs all cases and prints their figures.
pub async fn exec(args: Args, seed: u64, figures: &Printer) -> ExperimentResult {
    let cost = CountingCost::measure();
    steady::run(&args, seed, &cost, figures).await?;
    two_year::run(&args, seed, &cost, figures).await?;
    rush::run(&args, seed, &cost, figures).await
}

fn print(figures: &Printer, case: &str, metric: &str, value: f64, unit: &str) {
    figures.print(&Figure {
        experiment: "reporting",
        case,
        variant: "on",
        metric,
        value,
        unit,
    });
}

/// Prints the difference between the report and `admitted`, the load's count of admitted requests,
/// and whether the report is marked exact. The error of a report that is not exact is 0, because it
/// does not claim exactness.
fn print_count_error(figures: &Printer, case: &str, report: &Report, admitted: u64) {
    let exact = report.completeness == Completeness::Exact;
    let counted = report.total.admitted;
    let error = if exact { counted.abs_diff(admitted) } else { 0 };
    print(figures, case, "count_error", error as f64, "requests");
    print(figures, case, "exact", f64::from(u8::from(exact)), "flag");
    print(figures, case, "counted", counted as f64, "requests");
}

/// Returns `time` in seconds, at least 1 ns so that it can be a divisor.
fn seconds(time: Duration) -> f64 {
    time.as_secs_f64().max(1e-9)
}
