//! Routing: which endpoint gets a request.

mod endpoint_table;

pub use self::endpoint_table::{EndpointTable, InFlight};
