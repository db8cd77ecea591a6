//! Tests of the programs as separate processes.

mod docs;
mod load;
mod standin_backend;
mod peers;
mod support;
mod whole_path;
