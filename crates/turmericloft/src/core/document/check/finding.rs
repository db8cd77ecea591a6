//! What a check found.

use std::fmt;

use serde::Serialize;

use super::{key_path::KeyPath, shape::Shape};

/// One fault or warning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Line in the document, from 1.
    pub line: usize,
    /// Key, such as `services[0].endpoints[2].slots`; empty for the document as a whole.
    pub key: String,
    /// What is wrong, and which values are allowed.
    pub message: String,
}

/// All that was found in a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DocumentReport {
    /// What keeps the document from being put in force, by line.
    pub faults: Vec<Finding>,
    /// What is legal but dangerous, by line.
    pub warnings: Vec<Finding>,
}

impl DocumentReport {
    /// A report of one fault of the document as a whole.
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

    /// The faults, one a line, indented.
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

/// Collects findings and finds their lines.
pub(super) struct Findings<'a> {
    shape: &'a Shape<'a>,
    text: &'a str,
    found: Vec<Finding>,
}

impl<'a> Findings<'a> {
    pub(super) fn new(shape: &'a Shape<'a>, text: &'a str) -> Self {
        Self {
            shape,
            text,
            found: Vec::new(),
        }
    }

    /// Adds a finding at a key, unless the key's value was already reported as unreadable.
    pub(super) fn add(&mut self, path: &KeyPath, message: String) {
        if self.shape.is_unreadable(path) {
            return;
        }
        self.found.push(Finding {
            line: line_of(self.text, self.shape.offset_of(path)),
            key: path.to_string(),
            message,
        });
    }

    /// Whether the value at a key could be read.
    pub(super) fn is_readable(&self, path: &KeyPath) -> bool {
        !self.shape.is_unreadable(path)
    }

    pub(super) fn into_vec(self) -> Vec<Finding> {
        self.found
    }
}

/// Line of a byte offset, from 1.
pub(super) fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
}
