//! Tests of the programs as separate processes.

mod docs;
mod load;
mod peers;
mod routing;
mod standin_backend;
mod support;
mod whole_path;
