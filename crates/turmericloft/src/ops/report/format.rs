//! Formats of a report.

use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

use super::{ReportError, csv, html, json, text};
use crate::core::counting::report::Report;

/// How a report is written.
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
    /// One JSON object with everything.
    Json,
    /// One line a group, for spreadsheets.
    Csv,
    /// A page with plots that needs no other file.
    Html,
}

impl ReportFormat {
    /// Writes the report; `explain` adds the steps at which requests ended to text and pages.
    pub fn render(self, report: &Report, explain: bool) -> Result<String, ReportError> {
        match self {
            Self::Text => Ok(text::render(report, explain)),
            Self::Json => json::render(report),
            Self::Csv => csv::render(report),
            Self::Html => Ok(html::render(report, explain)),
        }
    }
}
