//! Tests of the programs as separate processes.

mod docs;
mod support;
mod whole_path;
