//! Parsing a document in spite of faults, so that all of them can be reported at once.

use std::borrow::Cow;

use serde::Deserialize;
use toml::{
    Deserializer, Spanned,
    de::{DeArray, DeTable, DeValue, Error},
};

use super::{
    finding::{Finding, line_of},
    key_path::KeyPath,
    source_tree::{self, Location},
};
use crate::core::document::Document;

/// Number of faults after which parsing ends.
const MAX_FAULTS: usize = 200;
/// Placeholders for values that cannot be parsed. For each key of a document, one of them is valid.
const PLACEHOLDERS: [Placeholder; 6] = [
    Placeholder::Text("idempotent"),
    Placeholder::Text("0000000000000000000000000000000000000000000000000000000000000000"),
    Placeholder::Text("127.0.0.1:1"),
    Placeholder::Zero,
    Placeholder::Array,
    Placeholder::Table,
];

#[derive(Clone, Copy)]
enum Placeholder {
    Text(&'static str),
    Zero,
    Array,
    Table,
}

/// A document as far as it can be parsed.
pub(super) struct PartialDocument<'i> {
    source: Spanned<DeTable<'i>>,
    document: Option<Document>,
    invalid: Vec<InvalidValue>,
}

/// A missing or invalid value, which is replaced by a placeholder.
struct InvalidValue {
    path: KeyPath,
    /// Index of the next placeholder to try.
    next_placeholder: usize,
}

impl<'i> PartialDocument<'i> {
    /// Parses `text` and appends each fault to `faults`. Invalid values are replaced by
    /// placeholders, so that the rest can be checked too.
    pub(super) fn parse(text: &'i str, faults: &mut Vec<Finding>) -> Self {
        let (source, errors) = DeTable::parse_recoverable(text);
        let mut partial = Self {
            source,
            document: None,
            invalid: Vec::new(),
        };
        if errors.is_empty() {
            partial.parse_tree(text, faults);
        }
        faults.extend(errors.iter().map(|e| syntax_fault(text, e)));
        partial
    }

    /// The document; `None` if it could not be parsed even with placeholders.
    pub(super) fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Whether the value at `path` is a placeholder or lies within one.
    pub(super) fn is_invalid(&self, path: &KeyPath) -> bool {
        self.invalid.iter().any(|u| path.is_within(&u.path))
    }

    /// Byte offset in the text of the value at `path`.
    pub(super) fn offset_of(&self, path: &KeyPath) -> usize {
        source_tree::offset_of(&self.source, path)
    }

    fn parse_tree(&mut self, text: &'i str, faults: &mut Vec<Finding>) {
        let mut tree = self.source.clone();
        for _ in 0..MAX_FAULTS * PLACEHOLDERS.len() {
            match Document::deserialize(Deserializer::from(tree.clone())) {
                Ok(document) => {
                    self.document = Some(document);
                    return;
                }
                Err(e) => {
                    if !self.recover(&mut tree, &e, text, faults) {
                        return;
                    }
                }
            }
        }
    }

    /// Appends the fault behind an error and removes its cause from `tree`. Returns false if parsing
    /// cannot go on.
    fn recover(
        &mut self,
        tree: &mut Spanned<DeTable<'i>>,
        e: &Error,
        text: &str,
        faults: &mut Vec<Finding>,
    ) -> bool {
        let span = e.span().unwrap_or_else(|| tree.span());
        if let Some(i) = placeholder_index(&span, text) {
            return self.try_next_placeholder(tree, i, text);
        }
        let Some(location) = source_tree::find(&self.source, &span) else {
            faults.push(syntax_fault(text, e));
            return false;
        };
        let missing = missing_key(e.message());
        let path = match (&location, missing) {
            (Location::Value(path), Some(key)) => path.key(key),
            (Location::Value(path) | Location::Key(path), _) => path.clone(),
        };
        faults.push(Finding {
            line: line_of(text, span.start),
            key: path.to_string(),
            message: e.message().trim().to_owned(),
        });
        if missing.is_none() && matches!(location, Location::Key(_)) {
            source_tree::remove(tree, &path);
            return true;
        }
        self.invalid.push(InvalidValue {
            path,
            next_placeholder: 0,
        });
        self.try_next_placeholder(tree, self.invalid.len() - 1, text)
    }

    fn try_next_placeholder(
        &mut self,
        tree: &mut Spanned<DeTable<'i>>,
        i: usize,
        text: &str,
    ) -> bool {
        let invalid = &mut self.invalid[i];
        let Some(placeholder) = PLACEHOLDERS.get(invalid.next_placeholder) else {
            return false;
        };
        invalid.next_placeholder += 1;
        let at = text.len() + 1 + i;
        let value = Spanned::new(at..at, placeholder.value());
        source_tree::replace(tree, &invalid.path, value);
        true
    }
}

impl Placeholder {
    fn value<'i>(self) -> DeValue<'i> {
        match self {
            Self::Text(text) => DeValue::String(Cow::Borrowed(text)),
            Self::Zero => DeValue::Integer(Default::default()),
            Self::Array => DeValue::Array(DeArray::new()),
            Self::Table => DeValue::Table(DeTable::new()),
        }
    }
}

/// Index of the placeholder at `span`: the spans of placeholders lie past the end of the text.
fn placeholder_index(span: &std::ops::Range<usize>, text: &str) -> Option<usize> {
    (span.start == span.end)
        .then(|| span.start.checked_sub(text.len() + 1))
        .flatten()
}

/// The key that serde's message reports as missing, if it does.
fn missing_key(message: &str) -> Option<&str> {
    message.strip_prefix("missing field `")?.split('`').next()
}

fn syntax_fault(text: &str, e: &Error) -> Finding {
    Finding {
        line: line_of(text, e.span().map_or(0, |s| s.start)),
        key: String::new(),
        message: e.message().trim().to_owned(),
    }
}
