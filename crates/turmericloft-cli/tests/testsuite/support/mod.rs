//! Processes, a caller, and documents for the tests.

mod bookings;
mod caller;
mod gateway;
mod operators;
mod platform;
mod process;
mod silent_link;

pub use self::{
    bookings::{Booking, BookingAnswer, runs, set_backend, set_log},
    caller::send,
    gateway::write_identity,
    operators::{Operators, rival_record},
    platform::Platform,
    process::Process,
    silent_link::SilentLink,
};
