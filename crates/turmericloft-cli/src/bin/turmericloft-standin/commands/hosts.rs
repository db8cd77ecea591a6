//! `turmericloft-standin hosts`

use std::net::SocketAddr;

use turmericloft_standins::host_list::HostListStandin;

use super::CommandResult;

/// Stands in for the host list
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

/// Runs the stand-in.
pub async fn exec(args: Args) -> CommandResult {
    let served = HostListStandin::default().serve(args.listen).await?;
    log::info!("host list listens on {}", served.address);
    served.wait().await;
    Ok(())
}
