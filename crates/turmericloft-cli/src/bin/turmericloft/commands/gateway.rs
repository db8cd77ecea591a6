//! `turmericloft gateway`

use turmericloft::util::logging::{self, LogFormat};
use turmericloft_platform::{NodeSettings, run_gateway};

use super::CommandResult;

/// Runs a gateway in front of the endpoints of the users' platform until SIGTERM
///
/// The role `gateway` of deploy/system.toml. Settings are read from the file that the variable
/// TURMERICLOFT_SETTINGS names, and again on SIGHUP and when the file changes. A gateway with
/// settings of its own, for callers with tokens, is the program turmericloft-gateway.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Take settings, configuration and endpoints from the platform
    #[arg(long, required = true)]
    platform: bool,
    /// How log lines are written
    #[arg(long, default_value_t = LogFormat::Json)]
    log_format: LogFormat,
}

/// Runs the subcommand.
pub async fn exec(args: Args) -> CommandResult {
    let writer = logging::init_stdout(args.log_format)?;
    let path = NodeSettings::path()?;
    let result = run_gateway(path).await;
    writer.flush();
    Ok(result?)
}
