//! Values of a report as people read them.

use std::time::Duration;

use jiff::Timestamp;

use crate::core::counting::report::{Completeness, Gap, Line, Report};

/// Shown in place of a value that is not known.
pub(super) const UNKNOWN: &str = "-";

/// A moment in milliseconds since the Unix epoch, in UTC.
pub(super) fn moment(ms: u64) -> String {
    let ms = i64::try_from(ms).unwrap_or(i64::MAX);
    match Timestamp::from_millisecond(ms) {
        Ok(at) => at.strftime("%Y-%m-%d %H:%M:%S UTC").to_string(),
        Err(_) => UNKNOWN.to_owned(),
    }
}

/// The time of day of a moment, in UTC.
pub(super) fn time_of_day(ms: u64) -> String {
    let ms = i64::try_from(ms).unwrap_or(i64::MAX);
    match Timestamp::from_millisecond(ms) {
        Ok(at) => at.strftime("%H:%M").to_string(),
        Err(_) => UNKNOWN.to_owned(),
    }
}

/// From when to when the report is.
pub(super) fn period(report: &Report) -> String {
    let to = moment(report.period.to_ms);
    if report.period.from_ms == 0 {
        return format!("all that is kept, to {to}");
    }
    format!("{} to {to}", moment(report.period.from_ms))
}

/// Whether the counts are all there, and up to when they are known.
pub(super) fn completeness(report: &Report) -> String {
    let as_of = report
        .as_of_ms
        .map(|ms| format!(", as of {}", moment(ms)))
        .unwrap_or_default();
    match report.completeness {
        Completeness::Exact => format!("exact{as_of}"),
        Completeness::Incomplete => format!("incomplete{as_of}; true counts may be higher"),
    }
}

/// A gap as a sentence.
pub(super) fn gap(gap: &Gap) -> String {
    let who = gap
        .host
        .as_ref()
        .map_or_else(|| "log service".to_owned(), |h| h.name.to_string());
    let from = moment(gap.from_ms);
    format!("{who}, {from}: {}", gap.reason.explanation())
}

/// A time in milliseconds.
pub(super) fn milliseconds(time: Option<Duration>) -> String {
    time.map_or_else(
        || UNKNOWN.to_owned(),
        |t| format!("{:.1}", t.as_secs_f64() * 1000.0),
    )
}

/// How finely a line was counted.
pub(super) fn resolution(line: &Line) -> String {
    if line.served > 0 && line.timed_percent < 100.0 {
        return format!("{}, {}% timed", line.resolution, line.timed_percent);
    }
    line.resolution.to_string()
}
