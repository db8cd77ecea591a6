//! The parsed TOML with the span of each key and value in the text.

use std::{borrow::Cow, ops::Range};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use super::key_path::{KeyPath, Segment};

/// What a span of the text contains: a key or a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Location {
    Key(KeyPath),
    Value(KeyPath),
}

/// Finds the key or value with exactly this span. Keys take precedence over values.
pub(super) fn find(root: &Spanned<DeTable<'_>>, span: &Range<usize>) -> Option<Location> {
    if root.span() == *span {
        return Some(Location::Value(KeyPath::root()));
    }
    find_in_table(root.get_ref(), &KeyPath::root(), span)
}

fn find_in_table(table: &DeTable<'_>, path: &KeyPath, span: &Range<usize>) -> Option<Location> {
    table.iter().find_map(|(key, value)| {
        let path = path.key(key.get_ref());
        if key.span() == *span {
            return Some(Location::Key(path));
        }
        find_in_value(value, &path, span)
    })
}

fn find_in_value(
    value: &Spanned<DeValue<'_>>,
    path: &KeyPath,
    span: &Range<usize>,
) -> Option<Location> {
    let within = match value.get_ref() {
        DeValue::Table(table) => find_in_table(table, path, span),
        DeValue::Array(items) => items
            .iter()
            .enumerate()
            .find_map(|(i, item)| find_in_value(item, &path.index(i), span)),
        _ => None,
    };
    within.or_else(|| (value.span() == *span).then(|| Location::Value(path.clone())))
}

/// Byte offset in the text of the value at `path`. If the value is missing, that of the innermost
/// table or array on the path that exists.
pub(super) fn offset_of(root: &Spanned<DeTable<'_>>, path: &KeyPath) -> usize {
    let mut offset = 0;
    let mut table = Some(root.get_ref());
    let mut value: Option<&Spanned<DeValue<'_>>> = None;
    for segment in path.segments() {
        let next = match segment {
            Segment::Key(key) => table.and_then(|t| t.get(key.as_str())),
            Segment::Index(i) => value.and_then(|v| v.get_ref().get(*i)),
        };
        let Some(next) = next else {
            return offset;
        };
        offset = next.span().start;
        table = next.get_ref().as_table();
        value = Some(next);
    }
    offset
}

/// Replaces the value at `path` by `new`, or inserts it.
pub(super) fn replace<'i>(
    root: &mut Spanned<DeTable<'i>>,
    path: &KeyPath,
    new: Spanned<DeValue<'i>>,
) {
    let Some((last, parents)) = path.segments().split_last() else {
        return;
    };
    match (last, parents.is_empty()) {
        (Segment::Key(key), true) => insert(root.get_mut(), key, new),
        (Segment::Key(key), false) => {
            if let Some(DeValue::Table(table)) = value_mut(root, parents) {
                insert(table, key, new);
            }
        }
        (Segment::Index(i), _) => {
            if let Some(DeValue::Array(items)) = value_mut(root, parents)
                && let Some(item) = items.get_mut(*i)
            {
                *item = new;
            }
        }
    }
}

/// Removes the key at `path`.
pub(super) fn remove(root: &mut Spanned<DeTable<'_>>, path: &KeyPath) {
    let Some((Segment::Key(key), parents)) = path.segments().split_last() else {
        return;
    };
    if parents.is_empty() {
        root.get_mut().remove(key.as_str());
    } else if let Some(DeValue::Table(table)) = value_mut(root, parents) {
        table.remove(key.as_str());
    }
}

fn insert<'i>(table: &mut DeTable<'i>, key: &str, new: Spanned<DeValue<'i>>) {
    table.insert(Spanned::new(0..0, Cow::Owned(key.to_owned())), new);
}

fn value_mut<'a, 'i>(
    root: &'a mut Spanned<DeTable<'i>>,
    path: &[Segment],
) -> Option<&'a mut DeValue<'i>> {
    let (first, rest) = path.split_first()?;
    let Segment::Key(key) = first else {
        return None;
    };
    let mut value = root.get_mut().get_mut(key.as_str())?.get_mut();
    for segment in rest {
        value = match (segment, value) {
            (Segment::Key(key), DeValue::Table(table)) => table.get_mut(key.as_str())?.get_mut(),
            (Segment::Index(i), DeValue::Array(items)) => items.get_mut(*i)?.get_mut(),
            _ => return None,
        };
    }
    Some(value)
}
