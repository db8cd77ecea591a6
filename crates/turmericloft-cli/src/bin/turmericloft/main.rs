//! The operators' command line.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use turmericloft::util::error_chain;

mod commands;

use commands::{check, promote, report};

/// Drives turmericloft through its documents and reads its reports.
#[derive(Debug, Parser)]
#[command(name = "turmericloft", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Check(check::Args),
    Promote(promote::Args),
    Report(report::Args),
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Check(args) => check::exec(args).await,
        Command::Promote(args) => promote::exec(args).await,
        Command::Report(args) => report::exec(args).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprint!("{}", error_chain::render(e.as_ref()));
            ExitCode::FAILURE
        }
    }
}
