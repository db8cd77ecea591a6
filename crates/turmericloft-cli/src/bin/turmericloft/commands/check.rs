//! `turmericloft check`

use std::{
    fmt::Write,
    path::{Path, PathBuf},
};

use serde::Serialize;
use turmericloft::core::document::{Document, DocumentReport, check_document};
use turmericloft_platform::check_file;

use super::{CommandResult, ExitError, Format, publish::read_document_file, write_output};

/// Reports every fault of a document with its line and key, and warns of risky settings
///
/// Exit code: 0 if there are no faults, 1 if there are.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Path of the document
    document: PathBuf,
    /// Check a file of the platform: settings of a process, or a configuration as it is stored
    #[arg(long)]
    platform: bool,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

#[derive(Serialize)]
struct CheckResult {
    document: PathBuf,
    #[serde(flatten)]
    report: DocumentReport,
    #[serde(skip)]
    text: String,
}

/// Checks the document and prints its faults and warnings.
pub async fn exec(args: Args) -> CommandResult {
    let text = read_document_file(&args.document)?;
    if args.platform {
        return check_platform_file(&args.document, &text);
    }
    let checked = CheckResult {
        report: check_document(&text),
        document: args.document,
        text,
    };
    args.format.print(&checked, summary_text)?;
    if checked.report.faults.is_empty() {
        return Ok(());
    }
    Err(ExitError {
        code: 1,
        message: faults_message(&checked),
    }
    .into())
}

fn check_platform_file(path: &Path, text: &str) -> CommandResult {
    let checked = check_file(path, text);
    let (path, kind) = (path.display(), checked.kind);
    if checked.faults.is_empty() {
        let text = format!("{path}: {kind} without faults\n");
        return Ok(write_output(text.as_bytes())?);
    }
    let lines: Vec<_> = checked.faults.iter().map(|f| format!("  {f}")).collect();
    Err(ExitError {
        code: 1,
        message: format!("{path} cannot be used as {kind}\n{}", lines.join("\n")),
    }
    .into())
}

fn summary_text(checked: &CheckResult) -> String {
    let mut text = String::new();
    let path = checked.document.display();
    if let Ok(document) = Document::parse(&checked.text)
        && checked.report.faults.is_empty()
    {
        let endpoints: usize = document.services.iter().map(|s| s.endpoints.len()).sum();
        let (services, callers) = (document.services.len(), document.callers.len());
        let _ = writeln!(
            text,
            "{path}: no faults; {services} services, {endpoints} endpoints, {callers} callers"
        );
    }
    for warning in &checked.report.warnings {
        let _ = writeln!(text, "warning: {warning}");
    }
    text
}

fn faults_message(checked: &CheckResult) -> String {
    let count = checked.report.faults.len();
    let plural = if count == 1 { "" } else { "s" };
    let lines = checked.report.format_faults();
    format!(
        "{} has {count} fault{plural}\n{lines}",
        checked.document.display()
    )
}
