//! The operators' command line.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use turmericloft::util::error_chain;

mod commands;

use commands::{audit, check, promote, report, status, trial};

/// Drives turmericloft through its documents and reads its reports.
#[derive(Debug, Parser)]
#[command(name = "turmericloft", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Audit(audit::Args),
    Check(check::Args),
    Promote(promote::Args),
    Report(report::Args),
    Status(status::Args),
    Trial(trial::Args),
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Audit(args) => audit::exec(args).await,
        Command::Check(args) => check::exec(args).await,
        Command::Promote(args) => promote::exec(args).await,
        Command::Report(args) => report::exec(args).await,
        Command::Status(args) => status::exec(args).await,
        Command::Trial(args) => trial::exec(args).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprint!("{}", error_chain::render(e.as_ref()));
            commands::exit_code(e.as_ref())
        }
    }
}
