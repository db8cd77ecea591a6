//! `turmericloft explain`

use std::path::PathBuf;

use turmericloft::ops;

use super::{CommandResult, Format};

/// Joins the lines of logs that concern one request into its story
///
/// Each line stands with its time against the first one about the request, after the last changes of
/// state that its process had written before.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Id of the request
    request: String,
    /// Logs of gateways, with JSON lines
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// How the result is printed
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// Runs the subcommand.
pub async fn exec(args: Args) -> CommandResult {
    let story = ops::explain(&args.request, &args.files)?;
    args.format.print(&story, ToString::to_string)
}
