//! A complete installation in one process, under a short load with injected faults.
//!
//! [`run_demo`] starts stand-ins, a reporter and a gateway as tasks and sends the calls of two
//! deployments. Meanwhile it slows one backend server down, drains one and crashes one. It then
//! stops the gateway gracefully and compares the report with the responses that the callers
//! received.

mod backend_servers;
mod calls;
mod deployment;
mod faults;
mod request_counts;
mod run;

pub use self::{
    request_counts::{RequestCounts, compare_counts},
    run::{DemoError, DemoOptions, run_demo},
};
