//! Output formats of a report.

use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

use super::{ReportError, csv, html, json, text};
use crate::core::counting::report::Report;

/// Output format of a report.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ReportFormat {
    /// Tables for a terminal.
    #[default]
    Text,
    /// One JSON object that contains all fields of the report.
    Json,
    /// One row per group, for spreadsheets.
    Csv,
    /// A self-contained HTML page with plots.
    Html,
}

impl ReportFormat {
    /// Renders the report. If `explain` is set, text and HTML also list the steps at which requests
    /// ended that were not served; JSON and CSV ignore it.
    pub fn render(self, report: &Report, explain: bool) -> Result<String, ReportError> {
        match self {
            Self::Text => Ok(text::render(report, explain)),
            Self::Json => json::render(report),
            Self::Csv => csv::render(report),
            Self::Html => Ok(html::render(report, explain)),
        }
    }
}
