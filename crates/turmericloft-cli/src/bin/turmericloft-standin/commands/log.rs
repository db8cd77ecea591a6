//! `turmericloft-standin log`

use std::net::SocketAddr;

use turmericloft_standins::log_service::LogStandin;

use super::CommandResult;

/// Runs a stand-in for the log service
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

/// Serves until the process is killed.
pub async fn exec(args: Args) -> CommandResult {
    let server = LogStandin::default().serve(args.listen).await?;
    log::info!("log service listens on {}", server.address);
    server.wait().await;
    Ok(())
}
