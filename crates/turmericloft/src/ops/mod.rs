//! One function per operation that a user sees.

pub mod gateway;
mod promote;
pub mod report;
pub mod reporter;

pub use self::{
    promote::{PromoteError, PromoteOptions, promote},
    report::{ReportError, ReportOptions, read_history, read_report},
};
