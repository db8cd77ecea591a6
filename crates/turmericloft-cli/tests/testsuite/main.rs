//! Tests of the programs as separate processes.

mod load;
mod support;
mod whole_path;
