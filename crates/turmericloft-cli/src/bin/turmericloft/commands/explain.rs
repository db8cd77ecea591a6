//! `turmericloft explain`

use std::path::PathBuf;

use turmericloft::ops;

use super::{CommandResult, Format};

/// Lists the log lines of one request from the logs of several gateways, by time
///
/// Each line is shown with its time relative to the first line about the request. The last state
/// changes that each process logged before the request are listed first.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Request id
    request: String,
    /// Log files of gateways, in the JSON log format
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// Reads the log files and prints the lines of the request.
pub async fn exec(args: Args) -> CommandResult {
    let explanation = ops::explain(&args.request, &args.files)?;
    args.format.print(&explanation, ToString::to_string)
}
