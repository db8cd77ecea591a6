//! Load that a backend server reports in its responses.

use std::str::FromStr;

use thiserror::Error;

/// Load of an endpoint when it responded, the request of that response included.
///
/// Parsed from text of the form `in_flight/slots`, such as `3/4`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in flight at the endpoint from all gateways, queued ones included.
    pub in_flight: u32,
    /// Requests that the endpoint processes concurrently.
    pub slots: u32,
}

/// The text is not a load report of the form `in_flight/slots`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected a load report of the form `in_flight/slots`, such as `3/4`")]
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
