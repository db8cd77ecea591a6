//! `turmericloft-standin log`

use std::net::SocketAddr;

use turmericloft_standins::log_service::LogStandin;

use super::CommandResult;

/// Stands in for the log service
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

/// Runs the stand-in.
pub async fn exec(args: Args) -> CommandResult {
    let served = LogStandin::default().serve(args.listen).await?;
    log::info!("log service listens on {}", served.address);
    served.wait().await;
    Ok(())
}
