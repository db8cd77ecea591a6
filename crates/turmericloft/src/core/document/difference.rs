//! Differences between two documents.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use serde_json::{Map, Value};

use super::Document;

/// Keys that identify the entries of a list, in order of preference.
const IDENTIFYING_KEYS: [&str; 3] = ["name", "address", "service"];

/// A value that was added, removed or changed, or a list whose order changed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path of the value, such as `services[calendar].deadline_ms`.
    pub key: String,
    /// The old value; `None` if it was added or only the order differs.
    pub before: Option<Value>,
    /// The new value; `None` if it was removed or only the order differs.
    pub after: Option<Value>,
}

/// Compares two documents value by value; without `before`, all values count as added.
///
/// Entries of lists are matched by name, address or service. A changed order is reported only if
/// no entry of the list differs.
pub fn diff_documents(before: Option<&Document>, after: &Document) -> Vec<Difference> {
    let empty_table = || Value::Object(Map::new());
    let before = before
        .map_or_else(|| Ok(empty_table()), serde_json::to_value)
        .ok();
    let after = serde_json::to_value(after).ok();
    let mut found = Vec::new();
    compare(String::new(), before.as_ref(), after.as_ref(), &mut found);
    found
}

fn compare(
    key: String,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    let (children_before, children_after) = (before.and_then(children), after.and_then(children));
    let (Some(children_before), Some(children_after)) = (children_before, children_after) else {
        found.push(Difference {
            key,
            before: before.cloned(),
            after: after.cloned(),
        });
        return;
    };
    let found_before = found.len();
    let mut names: Vec<&String> = children_before.keys().collect();
    names.extend(
        children_after
            .keys()
            .filter(|n| !children_before.contains_key(*n)),
    );
    for name in names {
        let path = if key.is_empty() {
            name.trim_start_matches('.').to_owned()
        } else {
            format!("{key}{name}")
        };
        let (b, a) = (children_before.get(name), children_after.get(name));
        compare(path, b.copied(), a.copied(), found);
    }
    if found.len() == found_before {
        found.push(Difference {
            key: format!("{key} (order)"),
            before: None,
            after: None,
        });
    }
}

/// The values of a table or of a list of identified entries, keyed by the suffix that they add to
/// the path. `None` for any other value.
fn children(value: &Value) -> Option<BTreeMap<String, &Value>> {
    match value {
        Value::Object(table) => Some(table.iter().map(|(k, v)| (format!(".{k}"), v)).collect()),
        Value::Array(items) => items
            .iter()
            .map(|item| Some((format!("[{}]", entry_name(item)?), item)))
            .collect(),
        _ => None,
    }
}

fn entry_name(item: &Value) -> Option<&str> {
    IDENTIFYING_KEYS
        .iter()
        .find_map(|key| item.get(key)?.as_str())
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.key),
            (Some(_), None) => write!(f, "- {}", self.key),
            (None, Some(Value::Object(_) | Value::Array(_))) => write!(f, "+ {}", self.key),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.key),
            (None, None) => write!(f, "~ {}", self.key),
        }
    }
}
