//! Tests of the programs as separate processes.

mod docs;
mod fault_matrix;
mod guarded_freeze;
mod guarded_keys;
mod guarded_session;
mod load;
mod peers;
mod standin_backend;
mod support;
mod whole_path;
