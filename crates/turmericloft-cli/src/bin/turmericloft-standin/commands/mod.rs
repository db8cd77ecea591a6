//! One module a stand-in.

pub mod backend;
pub mod hosts;
pub mod load;
pub mod log;

/// What a stand-in ends with.
pub type CommandResult = Result<(), Box<dyn std::error::Error>>;
