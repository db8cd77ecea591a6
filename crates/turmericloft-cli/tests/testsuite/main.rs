//! Tests of the programs as separate processes.

mod config_sessions;
mod docs;
mod fault_matrix;
mod gateway_crash;
mod guarded_freeze;
mod guarded_keys;
mod guarded_session;
mod load;
mod peers;
mod routing;
mod standin_backend;
mod support;
mod whole_path;
