//! Load generator: open-loop arrivals over persistent HTTP/1.1 connections.
//!
//! [`LoadPlan`] defines which calls are sent and when; [`run_load`] sends them and returns
//! [`LoadResults`]. The latency of a call is measured from its intended start, so that the results
//! include the delay of calls behind a slow target (no coordinated omission).

mod arrivals;
mod call;
mod call_stats;
mod connections;
mod exchange;
mod plan;
mod results;
mod run;

pub use self::{
    arrivals::Arrivals,
    call::{CallKey, CallTemplate},
    call_stats::CallStats,
    plan::LoadPlan,
    results::LoadResults,
    run::run_load,
};
