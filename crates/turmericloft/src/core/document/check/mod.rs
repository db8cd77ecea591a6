//! Document checks, which report all faults and warnings at once, with line and key.
//!
//! [`partial_document`] finds values that cannot be parsed, [`rules`] violations of rules that the
//! types do not express, and [`warnings`] valid but dangerous settings.

mod finding;
mod key_path;
mod partial_document;
mod rules;
mod source_tree;
mod warnings;

use super::Document;

pub use self::finding::{DocumentReport, Finding};
use self::{finding::Findings, partial_document::PartialDocument};

/// Checks the text of a document. Warnings are reported only if there are no faults.
pub fn check_document(text: &str) -> DocumentReport {
    if text.len() > Document::MAX_BYTES {
        return DocumentReport::of_fault(format!(
            "the document has {} bytes; at most {} are allowed",
            text.len(),
            Document::MAX_BYTES
        ));
    }
    let mut faults = Vec::new();
    let mut warnings = Vec::new();
    let partial = PartialDocument::parse(text, &mut faults);
    if let Some(document) = partial.document() {
        let mut findings = Findings::new(&partial, text);
        rules::find_faults(document, &mut findings);
        faults.extend(findings.into_vec());
        if faults.is_empty() {
            let mut findings = Findings::new(&partial, text);
            warnings::find_warnings(document, &mut findings);
            warnings = findings.into_vec();
        }
    }
    if faults.is_empty()
        && let Err(e) = Document::parse(text)
    {
        return DocumentReport::of_fault(e.to_string());
    }
    faults.sort_by_key(|f| f.line);
    warnings.sort_by_key(|f| f.line);
    DocumentReport { faults, warnings }
}
