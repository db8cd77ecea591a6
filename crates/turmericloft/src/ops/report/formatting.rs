//! Formatting of report values for text and HTML.

use std::time::Duration;

use jiff::Timestamp;

use crate::core::counting::report::{Completeness, Gap, Line, Report};

/// Placeholder for a value that is not known.
pub(super) const NO_VALUE: &str = "-";

/// Formats a time in milliseconds since the Unix epoch as date and time in UTC.
pub(super) fn utc_timestamp(ms: u64) -> String {
    let ms = i64::try_from(ms).unwrap_or(i64::MAX);
    match Timestamp::from_millisecond(ms) {
        Ok(at) => at.strftime("%Y-%m-%d %H:%M:%S UTC").to_string(),
        Err(_) => NO_VALUE.to_owned(),
    }
}

/// Formats a time in milliseconds since the Unix epoch as hours and minutes in UTC.
pub(super) fn utc_time_of_day(ms: u64) -> String {
    let ms = i64::try_from(ms).unwrap_or(i64::MAX);
    match Timestamp::from_millisecond(ms) {
        Ok(at) => at.strftime("%H:%M").to_string(),
        Err(_) => NO_VALUE.to_owned(),
    }
}

/// Formats the start and end of the report period.
pub(super) fn period(report: &Report) -> String {
    let to = utc_timestamp(report.period.to_ms);
    if report.period.from_ms == 0 {
        return format!("all that is kept, to {to}");
    }
    format!("{} to {to}", utc_timestamp(report.period.from_ms))
}

/// Formats whether the counts are complete, and the time up to which they are known.
pub(super) fn completeness(report: &Report) -> String {
    let as_of = report
        .as_of_ms
        .map(|ms| format!(", as of {}", utc_timestamp(ms)))
        .unwrap_or_default();
    match report.completeness {
        Completeness::Exact => format!("exact{as_of}"),
        Completeness::Incomplete => format!("incomplete{as_of}; true counts may be higher"),
    }
}

/// Formats a gap in the counts: host, start and reason.
pub(super) fn gap(gap: &Gap) -> String {
    let who = gap
        .host
        .as_ref()
        .map_or_else(|| "log service".to_owned(), |h| h.name.to_string());
    let from = utc_timestamp(gap.from_ms);
    format!("{who}, {from}: {}", gap.reason.explanation())
}

/// Formats a duration in milliseconds, with one decimal.
pub(super) fn milliseconds(time: Option<Duration>) -> String {
    time.map_or_else(
        || NO_VALUE.to_owned(),
        |t| format!("{:.1}", t.as_secs_f64() * 1000.0),
    )
}

/// Formats the resolution of a line, with the share of its requests that were timed.
pub(super) fn resolution(line: &Line) -> String {
    if line.served > 0 && line.timed_percent < 100.0 {
        return format!("{}, {}% timed", line.resolution, line.timed_percent);
    }
    line.resolution.to_string()
}
