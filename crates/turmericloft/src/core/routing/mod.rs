//! Routing: which endpoint gets a call, and when a call gets a second one.
//!
//! [`ServiceScheduler`] is where to begin: it holds all decisions of one service on one gateway.

mod call_chain;
mod call_outcome;
mod connection_progress;
mod endpoint_set;
mod endpoint_state;
mod extra_call_budget;
mod hedge_delay;
mod load_report;
mod report_trust;
mod service_scheduler;

pub use self::{
    call_chain::CallChain,
    call_outcome::{CallOutcome, FinishedCall},
    connection_progress::ConnectionProgress,
    endpoint_set::{EndpointId, EndpointSet, EndpointSettings},
    extra_call_budget::ExtraCallBudget,
    hedge_delay::HedgeDelay,
    load_report::{LoadReport, LoadReportError},
    service_scheduler::{CallRequest, Dequeued, Dispatch, SchedulerSettings, ServiceScheduler},
};
