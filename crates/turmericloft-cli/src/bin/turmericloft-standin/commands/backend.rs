//! `turmericloft-standin backend`

use std::net::SocketAddr;

use turmericloft_standins::backend::{BackendFaults, BackendStandin};

use super::CommandResult;

/// Stands in for a backend server
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Behaviour, as JSON
    #[arg(long, default_value = "{}")]
    behaviour: String,
    /// Seed of the times of work
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the stand-in.
pub async fn exec(args: Args) -> CommandResult {
    let faults: BackendFaults = serde_json::from_str(&args.behaviour)?;
    let served = BackendStandin::new(faults, args.seed)
        .serve(args.listen)
        .await?;
    log::info!("backend server listens on {}", served.address);
    served.wait().await;
    Ok(())
}
