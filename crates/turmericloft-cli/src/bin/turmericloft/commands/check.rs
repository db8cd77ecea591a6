//! `turmericloft check`

use std::{fs, path::PathBuf};

use turmericloft::core::document::Document;

use super::CommandResult;

/// Reports faults of a document
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The document
    document: PathBuf,
}

/// Runs the subcommand.
pub async fn exec(args: Args) -> CommandResult {
    let document = Document::parse(&fs::read_to_string(&args.document)?)?;
    println!(
        "{}: {} services, {} callers",
        args.document.display(),
        document.services.len(),
        document.callers.len()
    );
    Ok(())
}
