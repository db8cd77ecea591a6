//! Reading a document in spite of faults, so that all of them can be told at once.

use std::borrow::Cow;

use serde::Deserialize;
use toml::{
    Deserializer, Spanned,
    de::{DeArray, DeTable, DeValue, Error},
};

use super::{
    finding::{Finding, line_of},
    key_path::KeyPath,
    source_tree::{self, Place},
};
use crate::core::document::Document;

/// Faults after which reading ends.
const MAX_FAULTS: usize = 200;
/// Stand-ins for values that cannot be read: one of them fits each key of a document.
const STAND_INS: [StandIn; 6] = [
    StandIn::Text("idempotent"),
    StandIn::Text("0000000000000000000000000000000000000000000000000000000000000000"),
    StandIn::Text("127.0.0.1:1"),
    StandIn::Zero,
    StandIn::Array,
    StandIn::Table,
];

#[derive(Clone, Copy)]
enum StandIn {
    Text(&'static str),
    Zero,
    Array,
    Table,
}

/// A document as far as it can be read.
pub(super) struct Shape<'i> {
    source: Spanned<DeTable<'i>>,
    document: Option<Document>,
    unreadable: Vec<Unreadable>,
}

/// A value that was replaced by a stand-in, or is missing.
struct Unreadable {
    path: KeyPath,
    /// The next stand-in to try.
    next: usize,
}

impl<'i> Shape<'i> {
    /// Reads `text` and adds each fault. Values that cannot be read are replaced, so that the
    /// rest can be checked too.
    pub(super) fn read(text: &'i str, faults: &mut Vec<Finding>) -> Self {
        let (source, errors) = DeTable::parse_recoverable(text);
        let mut shape = Self {
            source,
            document: None,
            unreadable: Vec::new(),
        };
        if errors.is_empty() {
            shape.read_tree(text, faults);
        }
        faults.extend(errors.iter().map(|e| syntax_fault(text, e)));
        shape
    }

    /// The document; none if it could not be read even with stand-ins.
    pub(super) fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Whether the value at `path` is a stand-in.
    pub(super) fn is_unreadable(&self, path: &KeyPath) -> bool {
        self.unreadable.iter().any(|u| path.is_within(&u.path))
    }

    /// Offset in the text of the value at `path`.
    pub(super) fn offset_of(&self, path: &KeyPath) -> usize {
        source_tree::offset_of(&self.source, path)
    }

    fn read_tree(&mut self, text: &'i str, faults: &mut Vec<Finding>) {
        let mut tree = self.source.clone();
        for _ in 0..MAX_FAULTS * STAND_INS.len() {
            match Document::deserialize(Deserializer::from(tree.clone())) {
                Ok(document) => {
                    self.document = Some(document);
                    return;
                }
                Err(e) => {
                    if !self.mend(&mut tree, &e, text, faults) {
                        return;
                    }
                }
            }
        }
    }

    /// Notes the fault behind an error and takes it out of `tree`.
    fn mend(
        &mut self,
        tree: &mut Spanned<DeTable<'i>>,
        e: &Error,
        text: &str,
        faults: &mut Vec<Finding>,
    ) -> bool {
        let span = e.span().unwrap_or_else(|| tree.span());
        if let Some(i) = stand_in_index(&span, text) {
            return self.next_stand_in(tree, i, text);
        }
        let Some(place) = source_tree::find(&self.source, &span) else {
            faults.push(syntax_fault(text, e));
            return false;
        };
        let missing = missing_key(e.message());
        let path = match (&place, missing) {
            (Place::Value(path), Some(key)) => path.key(key),
            (Place::Value(path) | Place::Key(path), _) => path.clone(),
        };
        faults.push(Finding {
            line: line_of(text, span.start),
            key: path.to_string(),
            message: e.message().trim().to_owned(),
        });
        if missing.is_none() && matches!(place, Place::Key(_)) {
            source_tree::remove(tree, &path);
            return true;
        }
        self.unreadable.push(Unreadable { path, next: 0 });
        self.next_stand_in(tree, self.unreadable.len() - 1, text)
    }

    fn next_stand_in(&mut self, tree: &mut Spanned<DeTable<'i>>, i: usize, text: &str) -> bool {
        let unreadable = &mut self.unreadable[i];
        let Some(stand_in) = STAND_INS.get(unreadable.next) else {
            return false;
        };
        unreadable.next += 1;
        let at = text.len() + 1 + i;
        let value = Spanned::new(at..at, stand_in.value());
        source_tree::replace(tree, &unreadable.path, value);
        true
    }
}

impl StandIn {
    fn value<'i>(self) -> DeValue<'i> {
        match self {
            Self::Text(text) => DeValue::String(Cow::Borrowed(text)),
            Self::Zero => DeValue::Integer(Default::default()),
            Self::Array => DeValue::Array(DeArray::new()),
            Self::Table => DeValue::Table(DeTable::new()),
        }
    }
}

/// Stand-ins have places past the end of the text.
fn stand_in_index(span: &std::ops::Range<usize>, text: &str) -> Option<usize> {
    (span.start == span.end)
        .then(|| span.start.checked_sub(text.len() + 1))
        .flatten()
}

/// The key in serde's message about a missing one.
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
