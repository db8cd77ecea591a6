//! Limits that endpoints state for the requests of all gateways together.

mod arrivals;
mod fleet;
mod incident;
