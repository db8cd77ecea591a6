//! One module an experiment: its flags in `Args`, its run in `exec`.

pub mod capacity;
pub mod config;
pub mod guarded;
pub mod overhead;
pub mod reporting;
pub mod routing;

/// What an experiment ends with.
pub type ExperimentResult = Result<(), Box<dyn std::error::Error>>;
