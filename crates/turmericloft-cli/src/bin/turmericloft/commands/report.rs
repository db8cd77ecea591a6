//! `turmericloft report`

use std::net::SocketAddr;

use strum::IntoEnumIterator;
use turmericloft::{
    core::{Name, Outcome},
    ops,
    sources::log_service::HttpLog,
};

use super::CommandResult;

/// Shows who got what
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address of the log service
    #[arg(long)]
    log_service: SocketAddr,
    /// Environment
    #[arg(long)]
    environment: String,
}

/// Runs the subcommand.
pub async fn exec(args: Args) -> CommandResult {
    let environment = Name::new(&args.environment)?;
    let rows = ops::read_report(&HttpLog::new(args.log_service), &environment).await?;
    for row in rows {
        let key = &row.key;
        print!(
            "{} {} {} admitted={}",
            key.caller, key.service, key.kind, row.admitted
        );
        for outcome in Outcome::iter() {
            print!(" {outcome}={}", row.ended_with(outcome));
        }
        println!();
    }
    Ok(())
}
