//! Measures guarded actions: the latency that guarding adds, how often actions run, and whether
//! they complete while the log service is unavailable.
//!
//! The load consists of pairs: a lookup (not guarded), whose response has an action id, and a
//! booking (guarded) with that id. Both paths are therefore measured under the same load in the
//! same run. A share of the bookings is sent a second time, to another gateway. The stand-ins for
//! the backend servers count the runs.

mod installation;
mod load;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use turmericloft_standins::log_service::LogFaults;

use self::{
    installation::Installation,
    load::{KeySource, Load, Results},
};
use super::ExperimentResult;
use crate::figure::{Figure, Printer};

/// Measures the latency that guarding adds, counts the runs of actions, and makes the log service
/// unavailable
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Bookings per second over all gateways
    #[arg(long, default_value_t = 2_000)]
    rate: u32,
    /// Number of gateways
    #[arg(long, default_value_t = 4)]
    gateways: usize,
    /// Number of worker threads that all gateways share
    #[arg(long, default_value_t = 4)]
    gateway_threads: usize,
    /// Number of backend servers
    #[arg(long, default_value_t = 10)]
    endpoints: usize,
    /// Mean service time of a request at a backend server, in microseconds
    #[arg(long, default_value_t = 500)]
    service_time_us: u64,
    /// Percentage of bookings that are sent a second time, to another gateway
    #[arg(long, default_value_t = 5)]
    resend_percent: u32,
    /// Duration of the case `steady`, in seconds
    #[arg(long, default_value_t = 20)]
    steady_s: u64,
    /// Duration of the case `log-outage`, in seconds
    #[arg(long, default_value_t = 60)]
    outage_s: u64,
    /// Duration of the variant `own-key`, in seconds
    #[arg(long, default_value_t = 15)]
    keys_s: u64,
    /// Bookings per second in the variant `own-key`
    #[arg(long, default_value_t = 1_000)]
    key_rate: u32,
}

/// Runs all cases and prints their figures.
pub async fn exec(args: Args, seed: u64, figures: &Printer) -> ExperimentResult {
    let installation = Arc::new(Installation::start(&args, seed).await?);
    run_steady(&args, seed, &installation, figures).await;
    run_outage(&args, seed, &installation, figures).await;
    run_own_keys(&args, seed, &installation, figures).await;
    installation.stop();
    Ok(())
}

async fn run_steady(args: &Args, seed: u64, installation: &Arc<Installation>, figures: &Printer) {
    let appends = installation.claim_appends();
    let resident = installation.resident_bytes();
    let load = Load::new(args, seed, KeySource::Issued);
    let started = Instant::now();
    let results = load
        .run(installation, Duration::from_secs(args.steady_s))
        .await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let measured_s = args.steady_s as f64;
    let print =
        |variant, metric, value, unit| print(figures, "steady", variant, metric, value, unit);
    let lookup_ms = results.lookup.value_at_quantile(0.99) as f64 / 1000.0;
    let variants = [
        ("issued", results.all_bookings()),
        ("issued-executor", results.executor.clone()),
        ("issued-forwarded", results.forwarded.clone()),
    ];
    print("unguarded", "p99_ms", lookup_ms, "ms");
    for (variant, times) in variants {
        let booking_ms = times.value_at_quantile(0.99) as f64 / 1000.0;
        print(variant, "p99_ms", booking_ms, "ms");
        print(variant, "added_p99_ms", booking_ms - lookup_ms, "ms");
    }
    print(
        "issued",
        "calls_per_s",
        results.sent as f64 / measured_s,
        "1/s",
    );
    print_run_counts(figures, "steady", installation, &results);
    let appends_per_s = (installation.claim_appends() - appends) as f64 / elapsed_s;
    let resident_per_action =
        installation.resident_bytes().saturating_sub(resident) as f64 / results.sent.max(1) as f64;
    let case = "variants";
    self::print(
        figures,
        case,
        "issued",
        "appends_per_s",
        appends_per_s,
        "1/s",
    );
    self::print(
        figures,
        case,
        "issued",
        "resident_bytes_per_action",
        resident_per_action,
        "bytes",
    );
    let per_action = installation.accounted_bytes_per_action();
    self::print(
        figures,
        case,
        "issued",
        "bytes_per_action",
        per_action,
        "bytes",
    );
}

async fn run_outage(args: &Args, seed: u64, installation: &Arc<Installation>, figures: &Printer) {
    installation.log.set_faults(LogFaults {
        down: true,
        ..Default::default()
    });
    let load = Load::new(args, seed + 1, KeySource::Issued);
    let results = load
        .run(installation, Duration::from_secs(args.outage_s))
        .await;
    installation.log.set_faults(LogFaults::default());
    let completed_share = results.served as f64 / results.sent.max(1) as f64;
    let case = "log-outage";
    print(
        figures,
        case,
        "issued",
        "completed_share",
        completed_share,
        "ratio",
    );
    print_run_counts(figures, case, installation, &results);
}

async fn run_own_keys(args: &Args, seed: u64, installation: &Arc<Installation>, figures: &Printer) {
    let appends = installation.claim_appends();
    let mut load = Load::new(args, seed + 2, KeySource::OwnKey);
    load.rate = args.key_rate;
    let started = Instant::now();
    let results = load
        .run(installation, Duration::from_secs(args.keys_s))
        .await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let measured_s = args.keys_s as f64;
    let appends_per_s = (installation.claim_appends() - appends) as f64 / elapsed_s;
    let case = "variants";
    let lookup_ms = results.lookup.value_at_quantile(0.99) as f64 / 1000.0;
    let booking_ms = results.all_bookings().value_at_quantile(0.99) as f64 / 1000.0;
    let completed_share = results.served as f64 / results.sent.max(1) as f64;
    print(
        figures,
        case,
        "own-key",
        "appends_per_s",
        appends_per_s,
        "1/s",
    );
    print(
        figures,
        case,
        "own-key",
        "added_p99_ms",
        booking_ms - lookup_ms,
        "ms",
    );
    print(
        figures,
        case,
        "own-key",
        "completed_share",
        completed_share,
        "ratio",
    );
    print(
        figures,
        case,
        "own-key",
        "calls_per_s",
        results.sent as f64 / measured_s,
        "1/s",
    );
    print_run_counts(figures, "own-key", installation, &results);
}

/// Prints how many actions ran more than once, and how many ran although a response had the outcome
/// `not-run`.
fn print_run_counts(figures: &Printer, case: &str, installation: &Installation, results: &Results) {
    let runs = installation.runs();
    let runs_of = |tag: &String| runs.get(tag).copied().unwrap_or(0);
    let run_repeatedly = runs.values().filter(|n| **n > 1).count();
    let false_not_run = results.not_run.iter().filter(|t| runs_of(t) > 0).count();
    print(
        figures,
        case,
        "issued",
        "runs_over_one",
        run_repeatedly as f64,
        "actions",
    );
    print(
        figures,
        case,
        "issued",
        "false_not_run",
        false_not_run as f64,
        "actions",
    );
}

fn print(figures: &Printer, case: &str, variant: &str, metric: &str, value: f64, unit: &str) {
    figures.print(&Figure {
        experiment: "guarded",
        case,
        variant,
        metric,
        value,
        unit,
    });
}
