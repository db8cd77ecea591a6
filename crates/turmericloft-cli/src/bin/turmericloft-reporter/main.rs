//! The reporter daemon: publishes the counts of its gateway until a signal stops it.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use turmericloft::{
    ops::reporter::{CpuTimeScope, run_reporter_with_scope},
    util::{
        error_chain, logging,
        settings::{self, Override, ReporterSettings},
    },
};

const EXIT_CODES: &str = "Exit codes:
  0  all counts that were held are published
  1  the reporter could not run
  2  invalid command line arguments";

/// Runs a reporter until SIGTERM or SIGINT
#[derive(Debug, Parser)]
#[command(name = "turmericloft-reporter", version, after_help = EXIT_CODES)]
struct Cli {
    /// Settings file of this process, in TOML
    #[arg(long)]
    settings: PathBuf,
    /// Setting that overrides the one in the file, as KEY=VALUE; may be given several times
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<Override>,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Cli::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprint!("{}", error_chain::render(e.as_ref()));
            ExitCode::FAILURE
        }
    }
}

async fn run(cli: Cli) -> Result<(), Box<dyn std::error::Error>> {
    let settings: ReporterSettings = settings::load(&cli.settings, &cli.set)?;
    logging::init_stderr(settings.log_format)?;
    let stop = CancellationToken::new();
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let reporter = tokio::spawn(run_reporter_with_scope(
        settings,
        CpuTimeScope::Process,
        stop.clone(),
    ));
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        stop.cancel();
    });
    Ok(reporter.await??)
}
