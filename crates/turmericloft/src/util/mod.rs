//! Utilities shared by all other modules: clock, errors, logging, metrics and settings.

pub mod clock;
mod connection_metrics;
pub mod error_chain;
pub mod fault_point;
mod hedge_metrics;
pub mod host_clock;
mod ingress_metrics;
pub mod log_writer;
pub mod logging;
pub mod metrics_recorder;
pub mod metrics_table;
pub(crate) mod rate_limited_log;
pub mod settings;
pub mod supervised_tasks;
pub mod timestamp;
