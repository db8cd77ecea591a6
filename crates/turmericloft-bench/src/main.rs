//! Experiments that measure the load balancer and print figures, as a table or as JSON lines.
//!
//! The variants of a case are interleaved in one run, and a metric whose name ends in `_ratio`
//! compares variants of that run. No figure decides whether a build passes.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod experiments;
mod figure;
mod fit;

use experiments::{capacity, config, fleet, guarded, overhead, reporting, routing, worth};

/// Measures turmericloft against baselines on the loopback interface and in simulated time
#[derive(Debug, Parser)]
#[command(name = "turmericloft-bench", version)]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
    /// Seed of all random draws
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// Prints one JSON object per line instead of a table
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Debug, Subcommand)]
enum Experiment {
    Capacity(capacity::Args),
    Config(config::Args),
    Fleet(fleet::Args),
    Guarded(guarded::Args),
    Overhead(overhead::Args),
    Reporting(reporting::Args),
    Routing(routing::Args),
    Worth(worth::Args),
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let figures = figure::Printer::new(cli.json);
    let result = match cli.experiment {
        Experiment::Capacity(args) => capacity::exec(args, cli.seed, &figures).await,
        Experiment::Config(args) => config::exec(args, cli.seed, &figures).await,
        Experiment::Fleet(args) => fleet::exec(args, cli.seed, &figures),
        Experiment::Guarded(args) => guarded::exec(args, cli.seed, &figures).await,
        Experiment::Overhead(args) => overhead::exec(args, cli.seed, &figures).await,
        Experiment::Reporting(args) => reporting::exec(args, cli.seed, &figures).await,
        Experiment::Routing(args) => routing::exec(args, cli.seed, &figures).await,
        Experiment::Worth(args) => worth::exec(args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprint!("{}", turmericloft::util::error_chain::render(e.as_ref()));
            ExitCode::FAILURE
        }
    }
}
