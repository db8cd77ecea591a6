//! Tests of the programs as separate processes.

mod docs;
mod load;
mod peers;
mod support;
mod whole_path;
