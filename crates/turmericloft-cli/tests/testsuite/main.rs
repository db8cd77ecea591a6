//! Tests of the programs as separate processes.

mod docs;
mod gateway_crash;
mod load;
mod peers;
mod support;
mod whole_path;
