//! Tests of the programs as separate processes.

mod standin_backend;
mod support;
mod whole_path;
