//! Where the worth of days goes that the users' bench has played.

use std::{fs, path::PathBuf};

use turmericloft_platform::worth::{JournalEntry, plot, table};

use super::ExperimentResult;

/// Shows what the days in journal entries of the users' bench lost, and to what
///
/// With several entries, the first one is compared with the last.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Journal entries, earliest first
    #[arg(required = true, value_name = "ENTRY")]
    entries: Vec<PathBuf>,
    /// Writes a plot of the losses to this file
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

/// Prints the losses of each day.
pub fn exec(args: Args) -> ExperimentResult {
    let entries = args.entries.iter();
    let entries: Vec<_> = entries
        .map(|path| JournalEntry::read(path))
        .collect::<Result<_, _>>()?;
    print!("{}", table(&entries));
    if let Some(path) = args.svg {
        fs::write(path, plot(&entries))?;
    }
    Ok(())
}
