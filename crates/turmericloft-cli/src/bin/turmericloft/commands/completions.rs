//! `turmericloft completions`

use clap::Command;
use clap_complete::{Shell, generate};

use super::{CommandResult, write_output};

/// Prints the completion script for a shell
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Shell that runs the script
    shell: Shell,
}

const EXAMPLES: &str = "Example:
  turmericloft completions bash > ~/.local/share/bash-completion/completions/turmericloft";

/// Prints the completion script of `command`.
pub fn exec(args: &Args, mut command: Command) -> CommandResult {
    let name = command.get_name().to_owned();
    let mut script = Vec::new();
    generate(args.shell, &mut command, name, &mut script);
    Ok(write_output(&script)?)
}
