//! `turmericloft promote`

use std::{fs, net::SocketAddr, path::PathBuf};

use turmericloft::{
    core::Name,
    ops::{self, PromoteOptions},
    sources::log_service::HttpLog,
    util::clock::unix_ms,
};

use super::CommandResult;

/// Puts a document in force in an environment
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The document
    document: PathBuf,
    /// Address of the log service
    #[arg(long)]
    log_service: SocketAddr,
    /// Environment
    #[arg(long)]
    environment: String,
    /// Name of the operator, for the audit trail
    #[arg(long)]
    author: String,
}

/// Runs the subcommand.
pub async fn exec(args: Args) -> CommandResult {
    let options = PromoteOptions {
        environment: Name::new(&args.environment)?,
        author: Name::new(&args.author)?,
        document: fs::read_to_string(&args.document)?,
        promotion_id: format!("{:032x}", rand::random::<u128>()),
    };
    let log = HttpLog::new(args.log_service);
    let version = ops::promote(&log, options, unix_ms()).await?;
    println!("version {version} promoted to {}", args.environment);
    Ok(())
}
