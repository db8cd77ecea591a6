//! Routing: the choice of an endpoint for each call, retries and hedges.
//!
//! [`ServiceScheduler`] is the entry point: it makes all decisions of one gateway about one
//! service. The module does no I/O and reads no clock.

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
