//! Tests of counting, publishing and reporting.

mod conservation;
mod fault_matrix;
mod governor;
mod period;
mod publishing;
mod reports;
mod request_counters;
mod simulation;
