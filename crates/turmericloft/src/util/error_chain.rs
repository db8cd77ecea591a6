//! Errors as users see them.

use std::{error::Error, fmt::Write};

/// `error: …` with each cause on a line of its own.
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

/// An error and its causes on one line, for logs.
pub fn line(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(e) = cause {
        let _ = write!(text, ": {e}");
        cause = e.source();
    }
    text.replace('\n', "; ")
}
