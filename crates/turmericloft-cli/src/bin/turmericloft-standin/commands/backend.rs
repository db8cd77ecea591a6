//! `turmericloft-standin backend`

use std::net::SocketAddr;

use turmericloft_standins::backend::{BackendFaults, BackendStandin};

use super::CommandResult;

/// Runs a stand-in for a backend server
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Service times and injected faults, as a JSON object
    #[arg(long, default_value = "{}")]
    behaviour: String,
    /// Seed of the random service times
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Serves until the process is killed.
pub async fn exec(args: Args) -> CommandResult {
    let faults: BackendFaults = serde_json::from_str(&args.behaviour)?;
    let server = BackendStandin::new(faults, args.seed)
        .serve(args.listen)
        .await?;
    log::info!("backend server listens on {}", server.address);
    server.wait().await;
    Ok(())
}
