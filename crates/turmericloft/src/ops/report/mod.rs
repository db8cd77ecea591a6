//! Reports on how requests were distributed over callers and services: reading and rendering.

mod csv;
mod format;
mod formatting;
mod html;
mod json;
mod parse_period;
mod plots;
mod read;
mod text;

pub use self::{
    format::ReportFormat,
    parse_period::{PeriodError, parse_period},
    read::{ReportError, ReportOptions, read_history, read_report},
};
