//! Checking a document: every fault at once, with line and key, and warnings.
//!
//! [`shape`] finds what cannot be read as a document, [`rules`] what contradicts itself, and
//! [`warnings`] what is legal but dangerous.

mod finding;
mod key_path;
mod rules;
mod shape;
mod source_tree;
mod warnings;

use super::Document;

pub use self::finding::{DocumentReport, Finding};
use self::{finding::Findings, shape::Shape};

/// Checks the text of a document.
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
    let shape = Shape::read(text, &mut faults);
    if let Some(document) = shape.document() {
        let mut found = Findings::new(&shape, text);
        rules::find_faults(document, &mut found);
        faults.extend(found.into_vec());
        if faults.is_empty() {
            let mut found = Findings::new(&shape, text);
            warnings::find_warnings(document, &mut found);
            warnings = found.into_vec();
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
