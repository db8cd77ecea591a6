//! Processes, a caller, and documents for the tests.

mod caller;
mod gateway;
mod operators;
mod platform;
mod process;

pub use self::{
    caller::send,
    operators::{Operators, rival_record},
    platform::Platform,
    process::Process,
};
