//! Stand-in for the platform's log service.

mod faults;
mod routes;
mod store;

pub use self::{
    faults::LogFaults,
    routes::{LogCounts, LogStandin},
    store::LogStore,
};
