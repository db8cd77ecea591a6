//! Counting, publishing and reporting.

mod conservation;
mod fault_matrix;
mod governor;
mod ledger;
mod reports;
mod world;
