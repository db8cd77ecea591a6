//! Processes, a caller, and documents for the tests.

mod bookings;
mod caller;
mod gateway;
mod platform;
mod process;

pub use self::{
    bookings::{Booking, runs, set_backend},
    caller::send,
    platform::Platform,
    process::Process,
};
