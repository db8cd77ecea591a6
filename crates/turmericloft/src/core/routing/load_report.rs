//! Load as a backend server reports it on an answer.

use std::str::FromStr;

use thiserror::Error;

/// Requests in flight and slots of an endpoint when it answered, the answered request included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in flight, waiting ones included.
    pub in_flight: u32,
    /// Requests worked on at the same time.
    pub slots: u32,
}

/// A load report that is not of the form `in_flight/slots`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a load report is two whole numbers, as in 3/4")]
pub struct LoadReportError;

impl FromStr for LoadReport {
    type Err = LoadReportError;

    fn from_str(text: &str) -> Result<Self, LoadReportError> {
        let (in_flight, slots) = text.split_once('/').ok_or(LoadReportError)?;
        let number = |s: &str| s.trim().parse::<u32>().map_err(|_| LoadReportError);
        Ok(Self {
            in_flight: number(in_flight)?,
            slots: number(slots)?,
        })
    }
}
