//! Limits that endpoints state for the requests of all gateways together.

mod arrivals;
mod background;
mod endings;
mod exchange;
mod fault_pairs;
mod fleet;
mod incident;
mod loans;
mod shares;
mod simulated_endpoint;
mod urgency;
