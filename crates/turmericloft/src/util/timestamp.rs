//! Points in time as users see them.

use jiff::Timestamp;

/// Milliseconds since the Unix epoch as RFC 3339 in UTC, to the millisecond.
pub fn format_ms(ms: u64) -> String {
    let ms = i64::try_from(ms).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(ms)
        .map_or_else(|_| "an impossible time".to_owned(), |t| format!("{t:.3}"))
}
