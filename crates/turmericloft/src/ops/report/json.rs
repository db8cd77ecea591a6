//! JSON output of a report.

use super::ReportError;
use crate::core::counting::report::Report;

/// Renders one indented JSON object, terminated by a newline.
pub(super) fn render(report: &Report) -> Result<String, ReportError> {
    let text = serde_json::to_string_pretty(report).map_err(|e| ReportError::Render {
        format: "JSON",
        source: e.into(),
    })?;
    Ok(text + "\n")
}
