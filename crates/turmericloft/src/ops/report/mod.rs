//! Reading who got what, and showing it.

mod csv;
mod format;
mod html;
mod json;
mod parse_period;
mod phrases;
mod plots;
mod read;
mod text;

pub use self::{
    format::ReportFormat,
    parse_period::{PeriodError, parse_period},
    read::{ReportError, ReportOptions, read_history, read_report},
};
