//! The operators' command line.

use std::{io, process::ExitCode};

use clap::{CommandFactory, Parser, Subcommand};
use tokio::runtime::{Builder, Runtime};
use turmericloft::util::error_chain;

mod commands;

use commands::{audit, check, completions, demo, explain, gateway, promote, report, status, trial};

/// Checks and publishes documents, and shows the state and the reports of an installation.
#[derive(Debug, Parser)]
#[command(name = "turmericloft", version, after_help = EXAMPLES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

const EXAMPLES: &str = "\
Examples:
  turmericloft demo
  turmericloft check environment.toml
  turmericloft trial environment.toml --author anna --log-service 10.0.1.1:7000 \
--environment trial
  turmericloft promote environment.toml --author anna --log-service 10.0.1.1:7000
  turmericloft report --log-service 10.0.1.1:7000 --environment production

Exit codes:
  0  success
  1  failure; the message states what was not done
  2  invalid command line arguments
  3  rejected: another promotion was accepted first
  4  undecided: the message contains the command that settles the promotion";

#[derive(Debug, Subcommand)]
enum Command {
    Audit(audit::Args),
    Check(check::Args),
    Completions(completions::Args),
    Demo(demo::Args),
    Explain(explain::Args),
    Gateway(gateway::Args),
    Promote(promote::Args),
    Report(report::Args),
    Status(status::Args),
    Trial(trial::Args),
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    let result = match runtime(&command) {
        Ok(runtime) => runtime.block_on(exec(command)),
        Err(e) => Err(e.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprint!("{}", error_chain::render(e.as_ref()));
            commands::exit_code(e.as_ref())
        }
    }
}

/// A gateway gets a runtime of one thread: it shares a core with other processes, and further
/// threads would only cost it memory and wake-ups.
fn runtime(command: &Command) -> io::Result<Runtime> {
    let mut builder = match command {
        Command::Gateway(_) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}

async fn exec(command: Command) -> commands::CommandResult {
    match command {
        Command::Audit(args) => audit::exec(args).await,
        Command::Check(args) => check::exec(args).await,
        Command::Completions(args) => completions::exec(&args, Cli::command()),
        Command::Demo(args) => demo::exec(args).await,
        Command::Explain(args) => explain::exec(args).await,
        Command::Gateway(args) => gateway::exec(args).await,
        Command::Promote(args) => promote::exec(args).await,
        Command::Report(args) => report::exec(args).await,
        Command::Status(args) => status::exec(args).await,
        Command::Trial(args) => trial::exec(args).await,
    }
}
