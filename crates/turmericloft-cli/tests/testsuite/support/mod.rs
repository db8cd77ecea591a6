//! Processes, a caller, and documents for the tests.

mod caller;
mod command;
mod eventually;
mod gateway;
mod platform;
mod process;
mod raw_caller;

pub use self::{
    caller::{CallerAnswer, get_over_http2, send, try_get},
    command::run,
    eventually::eventually,
    platform::Platform,
    process::Process,
    raw_caller::RawCaller,
};
