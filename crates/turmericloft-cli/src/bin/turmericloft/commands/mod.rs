//! One module per subcommand, and the modules that they share.

use std::{error::Error, process::ExitCode};

use thiserror::Error;

pub mod audit;
pub mod check;
pub mod completions;
pub mod demo;
pub mod explain;
mod format;
pub mod gateway;
mod output;
pub mod promote;
mod publish;
pub mod report;
pub mod status;
pub mod trial;

use format::Format;
use output::{OutputError, write_output};

/// Result of a subcommand; an error is printed and sets the exit code.
pub type CommandResult = Result<(), Box<dyn Error>>;

/// An error with an exit code of its own.
#[derive(Debug, Error)]
#[error("{message}")]
pub struct ExitError {
    /// The exit code.
    pub code: u8,
    /// Message printed to the operator.
    pub message: String,
}

/// The exit code of an error: that of an [`ExitError`], and otherwise 1.
pub fn exit_code(e: &(dyn Error + 'static)) -> ExitCode {
    e.downcast_ref::<ExitError>()
        .map_or(ExitCode::FAILURE, |e| ExitCode::from(e.code))
}
