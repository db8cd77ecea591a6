//! A whole installation in one process, under a short real load with faults.
//!
//! [`run_demo`] starts stand-ins, a reporter and a gateway as tasks, sends the calls of two
//! deployments, makes one backend server a straggler, lets one drain and one crash, stops the
//! gateway gracefully, and compares the report with what the callers saw.

mod backend_servers;
mod calls;
mod deployment;
mod faults;
mod run;
mod sums;

pub use self::{
    run::{DemoError, DemoOptions, run_demo},
    sums::{Sum, compare_sums},
};
