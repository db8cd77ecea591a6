//! Experiments that print figures, one JSON object a line.
//!
//! Variants are interleaved in one run; a metric whose name ends in `_ratio` compares variants
//! of that run. Nothing here decides whether a build passes.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod experiments;
mod figure;
mod fit;

use experiments::{capacity, config, guarded, overhead, reporting, routing};

/// Measures turmericloft against its own baselines on loopback
#[derive(Debug, Parser)]
#[command(name = "turmericloft-bench", version)]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
    /// Seed of all random draws
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// Prints JSON lines in place of a table
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Debug, Subcommand)]
enum Experiment {
    Capacity(capacity::Args),
    Config(config::Args),
    Guarded(guarded::Args),
    Overhead(overhead::Args),
    Reporting(reporting::Args),
    Routing(routing::Args),
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let figures = figure::Printer::new(cli.json);
    let result = match cli.experiment {
        Experiment::Capacity(args) => capacity::exec(args, cli.seed, &figures).await,
        Experiment::Config(args) => config::exec(args, cli.seed, &figures).await,
        Experiment::Guarded(args) => guarded::exec(args, cli.seed, &figures).await,
        Experiment::Overhead(args) => overhead::exec(args, cli.seed, &figures).await,
        Experiment::Reporting(args) => reporting::exec(args, cli.seed, &figures).await,
        Experiment::Routing(args) => routing::exec(args, cli.seed, &figures).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprint!("{}", turmericloft::util::error_chain::render(e.as_ref()));
            ExitCode::FAILURE
        }
    }
}
