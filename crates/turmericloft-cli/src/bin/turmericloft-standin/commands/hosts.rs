//! `turmericloft-standin hosts`

use std::net::SocketAddr;

use turmericloft_standins::host_list::HostListStandin;

use super::CommandResult;

/// Runs a stand-in for the host list
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

/// Serves until the process is killed.
pub async fn exec(args: Args) -> CommandResult {
    let server = HostListStandin::default().serve(args.listen).await?;
    log::info!("host list listens on {}", server.address);
    server.wait().await;
    Ok(())
}
