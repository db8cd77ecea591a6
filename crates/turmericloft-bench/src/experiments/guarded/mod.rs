//! Guarded actions: time added, runs, and going on without the log service.
//!
//! Each call of the load is a lookup (the unguarded path) that brings an action id, followed by a
//! booking with that id, so that both paths see the same load in the same run. A share of the
//! bookings is sent again to another gateway. Runs are counted by the stand-ins for the backend
//! servers.

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

/// Measures what guarding adds to a call, counts runs, and takes the log service down
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Bookings a second, over all gateways
    #[arg(long, default_value_t = 2_000)]
    rate: u32,
    /// Gateways
    #[arg(long, default_value_t = 4)]
    gateways: usize,
    /// Threads of all gateways together
    #[arg(long, default_value_t = 4)]
    gateway_threads: usize,
    /// Backend servers
    #[arg(long, default_value_t = 10)]
    endpoints: usize,
    /// Mean time of work on one call, in microseconds
    #[arg(long, default_value_t = 500)]
    service_time_us: u64,
    /// Bookings of a hundred that are sent again to another gateway
    #[arg(long, default_value_t = 5)]
    resend_percent: u32,
    /// Length of the case `steady`, in seconds
    #[arg(long, default_value_t = 20)]
    steady_s: u64,
    /// Length of the case `log-outage`, in seconds
    #[arg(long, default_value_t = 60)]
    outage_s: u64,
    /// Length of the variant with callers' own keys, in seconds
    #[arg(long, default_value_t = 15)]
    keys_s: u64,
    /// Bookings a second with callers' own keys
    #[arg(long, default_value_t = 1_000)]
    key_rate: u32,
}

/// Runs the experiment.
pub async fn exec(args: Args, seed: u64, figures: &Printer) -> ExperimentResult {
    let at = Arc::new(Installation::start(&args, seed).await?);
    steady(&args, seed, &at, figures).await;
    outage(&args, seed, &at, figures).await;
    own_keys(&args, seed, &at, figures).await;
    at.stop();
    Ok(())
}

async fn steady(args: &Args, seed: u64, at: &Arc<Installation>, figures: &Printer) {
    let appends = at.claim_appends();
    let memory = at.resident_bytes();
    let load = Load::new(args, seed, KeySource::Issued);
    let started = Instant::now();
    let results = load.run(at, Duration::from_secs(args.steady_s)).await;
    let elapsed = started.elapsed().as_secs_f64();
    let measured = args.steady_s as f64;
    let print =
        |variant, metric, value, unit| print(figures, "steady", variant, metric, value, unit);
    let lookup = results.lookup.value_at_quantile(0.99) as f64 / 1000.0;
    let variants = [
        ("issued", results.all_bookings()),
        ("issued-executor", results.executor.clone()),
        ("issued-forwarded", results.forwarded.clone()),
    ];
    print("unguarded", "p99_ms", lookup, "ms");
    for (variant, times) in variants {
        let booking = times.value_at_quantile(0.99) as f64 / 1000.0;
        print(variant, "p99_ms", booking, "ms");
        print(variant, "added_p99_ms", booking - lookup, "ms");
    }
    print(
        "issued",
        "calls_per_s",
        results.sent as f64 / measured,
        "1/s",
    );
    truth(figures, "steady", at, &results);
    let issued = (at.claim_appends() - appends) as f64 / elapsed;
    let kept = at.resident_bytes().saturating_sub(memory) as f64 / results.sent.max(1) as f64;
    let case = "variants";
    self::print(figures, case, "issued", "appends_per_s", issued, "1/s");
    self::print(
        figures,
        case,
        "issued",
        "resident_bytes_per_action",
        kept,
        "bytes",
    );
    let per_action = at.accounted_bytes_per_action();
    self::print(
        figures,
        case,
        "issued",
        "bytes_per_action",
        per_action,
        "bytes",
    );
}

async fn outage(args: &Args, seed: u64, at: &Arc<Installation>, figures: &Printer) {
    at.log.set_faults(LogFaults {
        down: true,
        ..Default::default()
    });
    let load = Load::new(args, seed + 1, KeySource::Issued);
    let results = load.run(at, Duration::from_secs(args.outage_s)).await;
    at.log.set_faults(LogFaults::default());
    let share = results.served as f64 / results.sent.max(1) as f64;
    let case = "log-outage";
    print(figures, case, "issued", "completed_share", share, "ratio");
    truth(figures, case, at, &results);
}

async fn own_keys(args: &Args, seed: u64, at: &Arc<Installation>, figures: &Printer) {
    let appends = at.claim_appends();
    let mut load = Load::new(args, seed + 2, KeySource::OwnKey);
    load.rate = args.key_rate;
    let started = Instant::now();
    let results = load.run(at, Duration::from_secs(args.keys_s)).await;
    let elapsed = started.elapsed().as_secs_f64();
    let measured = args.keys_s as f64;
    let per_s = (at.claim_appends() - appends) as f64 / elapsed;
    let case = "variants";
    let lookup = results.lookup.value_at_quantile(0.99) as f64 / 1000.0;
    let booking = results.all_bookings().value_at_quantile(0.99) as f64 / 1000.0;
    let share = results.served as f64 / results.sent.max(1) as f64;
    print(figures, case, "own-key", "appends_per_s", per_s, "1/s");
    print(
        figures,
        case,
        "own-key",
        "added_p99_ms",
        booking - lookup,
        "ms",
    );
    print(figures, case, "own-key", "completed_share", share, "ratio");
    print(
        figures,
        case,
        "own-key",
        "calls_per_s",
        results.sent as f64 / measured,
        "1/s",
    );
    truth(figures, "own-key", at, &results);
}

fn truth(figures: &Printer, case: &str, at: &Installation, results: &Results) {
    let runs = at.runs();
    let of = |tag: &String| runs.get(tag).copied().unwrap_or(0);
    let doubled = runs.values().filter(|n| **n > 1).count();
    let false_not_run = results.not_run.iter().filter(|t| of(t) > 0).count();
    print(
        figures,
        case,
        "issued",
        "runs_over_one",
        doubled as f64,
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
