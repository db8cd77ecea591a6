//! Stand-in for the platform's log service: streams in memory, over HTTP, with injected faults.

mod faults;
mod routes;
mod store;

pub use self::{
    faults::LogFaults,
    routes::{LogCounts, LogStandin},
    store::LogStore,
};
