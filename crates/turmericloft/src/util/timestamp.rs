//! Formatting of timestamps.

use jiff::Timestamp;

/// Formats milliseconds since the Unix epoch as RFC 3339 in UTC, with millisecond precision. A
/// value beyond the range of [`Timestamp`] gives a fixed text.
pub fn format_unix_ms(ms: u64) -> String {
    let ms = i64::try_from(ms).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(ms).map_or_else(
        |_| "timestamp out of range".to_owned(),
        |t| format!("{t:.3}"),
    )
}
