//! Runs stand-ins for the platform services and backend servers as separate processes.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use turmericloft::util::{
    error_chain,
    logging::{self, LogFormat},
};

mod commands;

use commands::{backend, hosts, load, log};

/// Runs a stand-in until it is killed, or generates load
#[derive(Debug, Parser)]
#[command(name = "turmericloft-standin", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Log(log::Args),
    Hosts(hosts::Args),
    Backend(backend::Args),
    Load(load::Args),
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match (logging::init_stderr(LogFormat::Text), Cli::parse().command) {
        (Err(e), _) => Err(e.into()),
        (_, Command::Log(args)) => log::exec(args).await,
        (_, Command::Hosts(args)) => hosts::exec(args).await,
        (_, Command::Backend(args)) => backend::exec(args).await,
        (_, Command::Load(args)) => load::exec(args).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprint!("{}", error_chain::render(e.as_ref()));
            ExitCode::FAILURE
        }
    }
}
