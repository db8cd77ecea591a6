//! Quotas of organisations over all gateways.

mod conforming;
mod events;
mod fault_pairs;
mod fleet;
mod parts;
mod restarts;
mod traffic;
