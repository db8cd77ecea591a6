//! One module a subcommand.

use std::{error::Error, process::ExitCode};

use thiserror::Error;

pub mod audit;
pub mod check;
pub mod completions;
pub mod demo;
pub mod explain;
mod format;
pub mod gateway;
pub mod promote;
mod publish;
pub mod report;
pub mod status;
pub mod trial;

use format::Format;

/// What a subcommand ends with.
pub type CommandResult = Result<(), Box<dyn Error>>;

/// An end with an exit code of its own.
#[derive(Debug, Error)]
#[error("{message}")]
pub struct EndedWith {
    /// The exit code.
    pub code: u8,
    /// What the operator should know.
    pub message: String,
}

/// The exit code of an error: its own if it has one, and otherwise 1.
pub fn exit_code(e: &(dyn Error + 'static)) -> ExitCode {
    e.downcast_ref::<EndedWith>()
        .map_or(ExitCode::FAILURE, |ended| ExitCode::from(ended.code))
}
