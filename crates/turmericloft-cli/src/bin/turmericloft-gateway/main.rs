//! The gateway daemon.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use turmericloft::{
    ops::gateway::run_gateway,
    util::{
        error_chain, logging,
        settings::{self, GatewaySettings},
    },
};

/// Runs a gateway until SIGTERM or SIGINT
#[derive(Debug, Parser)]
#[command(name = "turmericloft-gateway", version)]
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
    let settings: GatewaySettings = settings::load(&cli.settings)?;
    logging::start(settings.log_format)?;
    let stop = CancellationToken::new();
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let running = tokio::spawn(run_gateway(settings, stop.clone()));
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        stop.cancel();
    });
    Ok(running.await??)
}
