//! What all other modules share.

pub mod clock;
pub mod error_chain;
pub mod fault_point;
pub mod log_writer;
pub mod logging;
pub mod metrics_recorder;
pub mod metrics_table;
pub mod settings;
pub mod timestamp;
