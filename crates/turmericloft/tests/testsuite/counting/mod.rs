//! Counting, publishing and reporting.

mod conservation;
mod fault_matrix;
mod governor;
mod ledger;
mod publishing;
mod reports;
mod world;
