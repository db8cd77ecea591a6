//! The gateway daemon: runs a gateway with its own settings file until a signal stops it.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};
use turmericloft::{
    ops::gateway::{GatewayError, Stop, run_gateway},
    util::{
        error_chain, logging,
        settings::{self, GatewaySettings, Override},
    },
};

/// Exit code if the stop cut off requests in flight or guarded actions.
const EXIT_CUT_OFF: u8 = 4;
const EXIT_CODES: &str = "Exit codes:
  0  every request in flight was finished
  1  the gateway could not run
  2  invalid command line arguments
  4  requests in flight or guarded actions were cut off; the message states how many";

/// Runs a gateway until SIGTERM or SIGINT
///
/// The first signal starts a graceful stop: the gateway reports that it is not ready, accepts no
/// new requests and finishes those in flight. A second signal, or the stop deadline in the
/// settings, cuts off the requests that are still in flight.
#[derive(Debug, Parser)]
#[command(name = "turmericloft-gateway", version, after_help = EXIT_CODES)]
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
            match e.downcast_ref() {
                Some(GatewayError::CutOff { .. }) => EXIT_CUT_OFF.into(),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

async fn run(cli: Cli) -> Result<(), Box<dyn std::error::Error>> {
    let settings: GatewaySettings = settings::load(&cli.settings, &cli.set)?;
    logging::init_stderr(settings.log_format)?;
    let stop = Stop::default();
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let gateway = tokio::spawn(run_gateway(settings, stop.clone()));
    tokio::spawn(async move {
        for token in [stop.graceful, stop.now] {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
            token.cancel();
        }
    });
    Ok(gateway.await??)
}
