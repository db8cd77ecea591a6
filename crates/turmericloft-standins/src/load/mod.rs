//! Load generator: open-loop arrivals over kept-alive HTTP/1.1 connections.
//!
//! [`LoadPlan`] says which calls are sent and when; [`run_load`] sends them and gives
//! [`LoadResults`]. The latency of a call is counted from its intended start, so that a target
//! that falls behind shows in the figures.

mod arrivals;
mod call;
mod connections;
mod exchange;
mod plan;
mod results;
mod run;
mod tally;

pub use self::{
    arrivals::Arrivals,
    call::{Call, CallKey},
    plan::LoadPlan,
    results::LoadResults,
    run::run_load,
    tally::Tally,
};
