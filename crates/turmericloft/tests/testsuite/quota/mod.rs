//! Quotas of organisations over all gateways.

mod conforming;
mod events;
mod fault_pairs;
mod fleet;
mod late_writes;
mod parts;
mod restarts;
mod traffic;
