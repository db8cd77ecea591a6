//! Processes, a caller, and documents for the tests.

mod caller;
mod gateway;
mod platform;
mod process;
mod silent_link;

pub use self::{caller::send, platform::Platform, process::Process, silent_link::SilentLink};
