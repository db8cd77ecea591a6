//! Parsing of periods on the command line.

use std::time::Duration;

use jiff::SignedDuration;
use thiserror::Error;

/// The text is not a period longer than zero.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a period: write a number and a unit of s, m, h, as in `15m`")]
pub struct PeriodError(String);

/// Parses a period longer than zero, such as `90s`, `15m` or `2h`.
pub fn parse_period(text: &str) -> Result<Duration, PeriodError> {
    let parsed: Option<SignedDuration> = text.parse().ok();
    parsed
        .and_then(|d| Duration::try_from(d).ok())
        .filter(|d| !d.is_zero())
        .ok_or_else(|| PeriodError(text.to_owned()))
}
