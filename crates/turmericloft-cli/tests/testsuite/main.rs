//! Tests of the programs as separate processes.

mod standin_backend;
mod docs;
mod load;
mod support;
mod whole_path;
