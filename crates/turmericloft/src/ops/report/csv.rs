//! Reports as CSV.

use super::ReportError;
use crate::core::counting::report::Report;

/// Writes one row a line of the report, the total last.
pub(super) fn render(report: &Report) -> Result<String, ReportError> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for line in report.lines.iter().chain([&report.total]) {
        writer.serialize(line).map_err(failed)?;
    }
    let bytes = writer.into_inner().map_err(failed)?;
    String::from_utf8(bytes).map_err(failed)
}

fn failed(e: impl std::error::Error + Send + Sync + 'static) -> ReportError {
    ReportError::Render {
        format: "CSV",
        source: Box::new(e),
    }
}
