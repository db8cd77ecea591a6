//! Findings of a document check and their report.

use std::fmt;

use serde::Serialize;

use super::{key_path::KeyPath, partial_document::PartialDocument};

/// A fault or a warning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Line in the document, starting at 1.
    pub line: usize,
    /// Path of the key, such as `services[0].endpoints[2].slots`; empty for the whole document.
    pub key: String,
    /// What is wrong, and which values are allowed.
    pub message: String,
}

/// All findings of a document check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DocumentReport {
    /// Faults, which keep the document from becoming active, sorted by line.
    pub faults: Vec<Finding>,
    /// Warnings about valid but dangerous settings, sorted by line.
    pub warnings: Vec<Finding>,
}

impl DocumentReport {
    /// Creates a report with a single fault of the whole document.
    pub(super) fn of_fault(message: String) -> Self {
        let fault = Finding {
            line: 1,
            key: String::new(),
            message,
        };
        Self {
            faults: vec![fault],
            warnings: Vec::new(),
        }
    }

    /// Formats the faults, indented, with one on each line.
    pub fn format_faults(&self) -> String {
        let lines: Vec<String> = self.faults.iter().map(|f| format!("  {f}")).collect();
        lines.join("\n")
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            write!(f, "line {}: {}", self.line, self.message)
        } else {
            write!(f, "line {}: `{}`: {}", self.line, self.key, self.message)
        }
    }
}

/// Collects findings and determines their lines.
pub(super) struct Findings<'a> {
    partial: &'a PartialDocument<'a>,
    text: &'a str,
    findings: Vec<Finding>,
}

impl<'a> Findings<'a> {
    pub(super) fn new(partial: &'a PartialDocument<'a>, text: &'a str) -> Self {
        Self {
            partial,
            text,
            findings: Vec::new(),
        }
    }

    /// Adds a finding at a key, unless the key's value was already reported as invalid.
    pub(super) fn add(&mut self, path: &KeyPath, message: String) {
        if self.partial.is_invalid(path) {
            return;
        }
        self.findings.push(Finding {
            line: line_of(self.text, self.partial.offset_of(path)),
            key: path.to_string(),
            message,
        });
    }

    /// Whether the value at a key could be parsed.
    pub(super) fn is_valid(&self, path: &KeyPath) -> bool {
        !self.partial.is_invalid(path)
    }

    pub(super) fn into_vec(self) -> Vec<Finding> {
        self.findings
    }
}

/// Line of a byte offset, starting at 1.
pub(super) fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
}
