//! Tests of the programs as separate processes.

mod gateway_crash;
mod support;
mod whole_path;
