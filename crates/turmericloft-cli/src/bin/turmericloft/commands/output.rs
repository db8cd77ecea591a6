//! Standard output of subcommands.

use std::io::{self, Write};

use thiserror::Error;

/// The result of a subcommand was not written completely.
#[derive(Debug, Error)]
#[error("cannot write the result to standard output")]
pub struct OutputError(#[from] io::Error);

/// Writes text to standard output. It is written completely when this returns: what the standard
/// library buffers until the exit is lost without an error if it cannot be written then.
pub fn write_output(text: &[u8]) -> Result<(), OutputError> {
    let mut out = io::stdout().lock();
    out.write_all(text)?;
    Ok(out.flush()?)
}
