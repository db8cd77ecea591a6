//! Admission control: rate and concurrency limits, fair queueing and rejections.
//!
//! The module does no I/O and reads no clock.

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
