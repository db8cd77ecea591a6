//! Experiments, one module each: `Args` holds its flags, and `exec` runs it.

pub mod capacity;
pub mod config;
pub mod fleet;
pub mod guarded;
pub mod overhead;
pub mod reporting;
pub mod routing;
pub mod worth;

/// Result of an experiment; `main` prints an error with its sources.
pub type ExperimentResult = Result<(), Box<dyn std::error::Error>>;
