//! Formatting of errors with their causes.

use std::{error::Error, fmt::Write};

/// Formats an error as `error: …`, followed by each cause on its own line. Ends with a line feed.
pub fn render(error: &dyn Error) -> String {
    let mut text = format!("error: {error}\n");
    let mut cause = error.source();
    if cause.is_some() {
        text.push_str("\nCaused by:\n");
    }
    while let Some(e) = cause {
        let indented = e.to_string().replace('\n', "\n    ");
        let _ = writeln!(text, "  {indented}");
        cause = e.source();
    }
    text
}

/// Formats an error and its causes on one line, for log lines.
pub fn one_line(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(e) = cause {
        let _ = write!(text, ": {e}");
        cause = e.source();
    }
    text.replace('\n', "; ")
}
