//! One module per subcommand.

pub mod backend;
pub mod hosts;
pub mod load;
pub mod log;

/// Result of a subcommand; an error ends the process with exit code 1.
pub type CommandResult = Result<(), Box<dyn std::error::Error>>;
