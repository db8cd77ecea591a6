//! Stand-ins for the platform and the backend servers, with faults that can be switched on, and a
//! load generator. Tests, the demo and the bench use them; the product does not depend on them.

pub mod backend;
pub mod demo;
pub mod host_list;
pub mod installation;
pub mod load;
pub mod log_service;
mod serve;

pub use serve::{ServeError, ServerHandle, free_address};
