//! Tests of the programs as separate processes.

mod support;
mod whole_path;
