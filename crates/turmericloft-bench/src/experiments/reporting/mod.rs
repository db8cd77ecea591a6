//! What counting and reporting cost, and whether the counts are right.

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

/// Measures counting and reporting against their budget, and their counts against the load's
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Calls a second through a gateway in case `steady`
    #[arg(long, default_value_t = 1_000.0)]
    steady_rate: f64,
    /// Seconds of load in case `steady`
    #[arg(long, default_value_t = 20)]
    steady_seconds: u64,
    /// Requests counted a second on one node in case `two-year`
    #[arg(long, default_value_t = 5_200.0)]
    two_year_rate: f64,
    /// Seconds of load in case `two-year`
    #[arg(long, default_value_t = 40)]
    two_year_seconds: u64,
    /// Callers in case `two-year`
    #[arg(long, default_value_t = 5_000)]
    two_year_callers: usize,
    /// Services in case `two-year`
    #[arg(long, default_value_t = 180)]
    two_year_services: usize,
    /// Services that one caller uses in case `two-year`
    #[arg(long, default_value_t = 3)]
    services_per_caller: usize,
    /// Requests counted a second before the rush in case `rush`
    #[arg(long, default_value_t = 1_000.0)]
    rush_base_rate: f64,
    /// Seconds of the tenfold rush in case `rush`
    #[arg(long, default_value_t = 40)]
    rush_seconds: u64,
}

/// Runs the experiment.
pub async fn exec(args: Args, seed: u64, figures: &Printer) -> ExperimentResult {
    let cost = CountingCost::measure();
    steady::run(&args, seed, &cost, figures).await?;
    two_year::run(&args, seed, &cost, figures).await?;
    rush::run(&args, seed, &cost, figures).await
}

/// Prints one figure of this experiment.
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

/// Prints how far the report is from the load's own count of admitted requests, and whether it
/// calls itself exact. An incomplete report claims no exactness, so that its error is 0.
fn print_count_error(figures: &Printer, case: &str, report: &Report, own: u64) {
    let exact = report.completeness == Completeness::Exact;
    let counted = report.total.admitted;
    let error = if exact { counted.abs_diff(own) } else { 0 };
    print(figures, case, "count_error", error as f64, "requests");
    print(figures, case, "exact", f64::from(u8::from(exact)), "flag");
    print(figures, case, "counted", counted as f64, "requests");
}

/// A duration as a number of seconds of at least a nanosecond, to divide by.
fn seconds(time: Duration) -> f64 {
    time.as_secs_f64().max(1e-9)
}
