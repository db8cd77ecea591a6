//! Limits that endpoints state for the requests of all gateways together.

mod arrivals;
mod endings;
mod fault_pairs;
mod fleet;
mod incident;
mod loans;
mod shares;
mod urgency;
