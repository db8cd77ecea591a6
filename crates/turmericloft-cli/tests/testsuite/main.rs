//! Tests of the programs as separate processes.

mod bad_input;
mod docs;
mod early_close;
mod graceful_stop;
mod load;
mod peers;
mod settings;
mod standin_backend;
mod support;
mod whole_path;
