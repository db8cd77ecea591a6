//! Admission: who may send when, who waits, and who is turned away.

mod caller_limits;
mod concurrency_window;
mod fair_queue;
mod rejection;

pub use self::{
    caller_limits::{CallerLimits, RateLimiter},
    concurrency_window::ConcurrencyWindow,
    fair_queue::{FairQueue, FlowId, QueuedCall, Ticket},
    rejection::{RejectReason, Rejection},
};
