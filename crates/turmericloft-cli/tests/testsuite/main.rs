//! Tests of the programs as separate processes.

mod docs;
mod load;
mod support;
mod whole_path;
