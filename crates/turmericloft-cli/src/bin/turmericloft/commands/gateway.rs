//! `turmericloft gateway`

use turmericloft::util::logging::{self, LogFormat};
use turmericloft_platform::{NodeSettings, run_gateway};

use super::CommandResult;

/// Runs a gateway for the endpoints of the users' platform until SIGTERM
///
/// This is the role `gateway` in deploy/system.toml. Settings are read from the file named by the
/// environment variable TURMERICLOFT_SETTINGS, and reloaded on SIGHUP and when the file changes.
/// The program turmericloft-gateway runs a gateway with a settings file of its own, for callers
/// with tokens.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Read settings, configuration and endpoints from the platform
    #[arg(long, required = true)]
    platform: bool,
    /// Format of log lines
    #[arg(long, default_value_t = LogFormat::Json)]
    log_format: LogFormat,
}

/// Runs the gateway, and writes out all log lines before it returns.
pub async fn exec(args: Args) -> CommandResult {
    let writer = logging::init_stdout(args.log_format)?;
    let path = NodeSettings::path()?;
    let result = run_gateway(path).await;
    writer.flush();
    Ok(result?)
}
