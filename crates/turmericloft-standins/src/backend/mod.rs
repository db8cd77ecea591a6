//! Stand-in for a backend server: an HTTP server with simulated service times and injected faults.

mod connections;
mod faults;
mod routes;
mod runs;

pub use self::{
    faults::BackendFaults,
    routes::{BackendStandin, DEADLINE_HEADER, LOAD_HEADER, SHED_HEADER},
    runs::RunCounts,
};
