//! One module a subcommand.

pub mod check;
pub mod promote;
pub mod report;

/// What a subcommand ends with.
pub type CommandResult = Result<(), Box<dyn std::error::Error>>;
