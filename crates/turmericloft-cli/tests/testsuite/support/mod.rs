//! Processes, a caller, and documents for the tests.

mod bookings;
mod caller;
mod gateway;
mod platform;
mod process;

pub use self::{
    bookings::{Booking, BookingAnswer, runs, set_backend, set_log},
    caller::send,
    gateway::write_identity,
    platform::Platform,
    process::Process,
};
