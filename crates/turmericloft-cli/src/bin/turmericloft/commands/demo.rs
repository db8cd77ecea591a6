//! `turmericloft demo`

use std::time::Duration;

use turmericloft_standins::demo::{DemoOptions, run_demo};

use super::CommandResult;

/// Runs a complete installation in this process, under load and faults, and shows its report
///
/// Exit code: 0 if the report agrees with what the callers counted, 1 if it does not.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Calls per second
    #[arg(long, default_value_t = 400.0)]
    rate: f64,
    /// Time during which calls start, in milliseconds; at most 15000
    #[arg(long, default_value_t = 6_000, value_parser = clap::value_parser!(u64).range(100..=15_000))]
    duration_ms: u64,
    /// Seed of the load
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the demo; fails if its report disagrees with the counts of the callers.
pub async fn exec(args: Args) -> CommandResult {
    let options = DemoOptions {
        rate_per_s: args.rate,
        duration: Duration::from_millis(args.duration_ms),
        seed: args.seed,
    };
    Ok(run_demo(options).await?)
}
