//! CSV output of a report.

use super::ReportError;
use crate::core::counting::report::Report;

/// Renders one row for each line of the report; the last row is the total.
pub(super) fn render(report: &Report) -> Result<String, ReportError> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for line in report.lines.iter().chain([&report.total]) {
        writer.serialize(line).map_err(render_error)?;
    }
    let bytes = writer.into_inner().map_err(render_error)?;
    String::from_utf8(bytes).map_err(render_error)
}

fn render_error(e: impl std::error::Error + Send + Sync + 'static) -> ReportError {
    ReportError::Render {
        format: "CSV",
        source: Box::new(e),
    }
}
