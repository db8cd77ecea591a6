//! One function per operation that a user sees.

pub mod gateway;
mod promote;
mod report;
pub mod reporter;

pub use self::{
    promote::{PromoteError, PromoteOptions, promote},
    report::{ReportError, read_report},
};
