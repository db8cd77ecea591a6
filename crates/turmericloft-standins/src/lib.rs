//! Stand-ins for the platform and the backend servers, with switchable faults, and a load
//! generator. They serve tests, the demo and the bench; no part of the product needs them.

pub mod backend;
pub mod demo;
pub mod host_list;
pub mod installation;
pub mod load;
pub mod log_service;
mod serve;

pub use serve::{ServeError, Served, free_address};
