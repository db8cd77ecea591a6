//! The reporter daemon.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use turmericloft::{
    ops::reporter::run_reporter_process,
    util::{
        error_chain, logging,
        settings::{self, ReporterSettings},
    },
};

/// Runs a reporter until SIGTERM or SIGINT
#[derive(Debug, Parser)]
#[command(name = "turmericloft-reporter", version)]
struct Cli {
    /// Settings of this process, in TOML
    #[arg(long)]
    settings: PathBuf,
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
    let settings: ReporterSettings = settings::load(&cli.settings)?;
    logging::start(settings.log_format)?;
    let stop = CancellationToken::new();
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let running = tokio::spawn(run_reporter_process(settings, stop.clone()));
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        stop.cancel();
    });
    Ok(running.await??)
}
