//! Processes, a caller, and documents for the tests.

mod caller;
mod gateway;
mod platform;
mod process;

pub use self::{caller::send, platform::Platform, process::Process};
