//! Validation of settings that reports all faults together.

use std::{borrow::Cow, collections::HashMap, path::Path};

use toml::{Spanned, Table, Value, de::DeTable};

use super::{Origin, Override, SettingKey, Settings, SettingsFault};

/// Deserializes settings from the text of a file and the overrides, or returns all faults found. A
/// syntax error hides the faults of values.
pub(super) fn check<T: Settings>(
    path: &Path,
    text: &str,
    overrides: &[Override],
) -> Result<T, Vec<SettingsFault>> {
    let (spanned, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        return Err(errors.iter().map(|e| syntax_fault(path, text, e)).collect());
    }
    let mut origins: HashMap<String, Origin> = HashMap::new();
    for key in spanned.get_ref().keys() {
        let line = line_number(text, key.span().start);
        origins.insert(key.get_ref().to_string(), Origin::Line(path.into(), line));
    }
    let mut table: Table = toml::from_str(text).map_err(|e| vec![syntax_fault(path, text, &e)])?;
    for Override { key, value } in overrides {
        origins.insert(key.clone(), Origin::Flag);
        table.insert(key.clone(), value.clone());
    }
    let mut faults = missing_keys::<T>(path, &table);
    for (key, value) in &table {
        let origin = origins.remove(key).unwrap_or(Origin::File(path.into()));
        let fault = invalid_value::<T>(origin, key, value);
        let offset = fault.as_ref().and_then(|f| inner_key_offset(&spanned, f));
        faults.extend(fault.map(|f| f.with_line(path, offset.map(|o| line_number(text, o)))));
    }
    faults.sort_by(|a, b| a.origin.cmp(&b.origin));
    if !faults.is_empty() {
        return Err(faults);
    }
    T::deserialize(table).map_err(|e| vec![file_fault(path, &e)])
}

/// Returns a fault for each required key that is not set.
fn missing_keys<T: Settings>(path: &Path, table: &Table) -> Vec<SettingsFault> {
    let absent = T::KEYS
        .iter()
        .filter(|key| key.required && !table.contains_key(key.name));
    let fault = |key: &SettingKey| SettingsFault {
        origin: Origin::File(path.into()),
        key: Some(key.name.to_owned()),
        message: "missing".to_owned(),
        allowed: Some(key.allowed),
    };
    absent.map(fault).collect()
}

/// Returns the fault of one key, if any. Deserializes its value together with allowed values for
/// the required keys, so that an error can only be due to this key.
fn invalid_value<T: Settings>(origin: Origin, key: &str, value: &Value) -> Option<SettingsFault> {
    let mut table = required_examples::<T>();
    table.insert(key.to_owned(), value.clone());
    let error = T::deserialize(table).err()?;
    let message = first_line(&error);
    let known = T::KEYS.iter().find(|k| k.name == key);
    Some(SettingsFault {
        origin,
        key: Some(key.to_owned()),
        message,
        allowed: known.map(|k| k.allowed),
    })
}

/// Returns the offset in the text of the key inside a table that the fault of the table names, if
/// it names one.
fn inner_key_offset(spanned: &Spanned<DeTable<'_>>, fault: &SettingsFault) -> Option<usize> {
    let table = spanned.get_ref().get(fault.key.as_deref()?)?;
    let keys = table.get_ref().as_table()?.keys();
    // The first name in backticks is the unknown key; the allowed names follow it.
    let unknown = fault.message.split('`').nth(1)?;
    let is_unknown = |key: &&Spanned<Cow<'_, str>>| key.get_ref() == unknown;
    keys.filter(is_unknown).map(|key| key.span().start).next()
}

fn required_examples<T: Settings>() -> Table {
    let required = T::KEYS.iter().filter(|k| k.required);
    let lines: String = required
        .map(|k| format!("{} = {}\n", k.name, k.example))
        .collect();
    toml::from_str(&lines).unwrap_or_default()
}

fn syntax_fault(path: &Path, text: &str, error: &toml::de::Error) -> SettingsFault {
    let line = error.span().map(|span| line_number(text, span.start));
    SettingsFault {
        origin: line.map_or(Origin::File(path.into()), |l| Origin::Line(path.into(), l)),
        key: None,
        message: first_line(error),
        allowed: None,
    }
}

fn file_fault(path: &Path, error: &toml::de::Error) -> SettingsFault {
    SettingsFault {
        origin: Origin::File(path.into()),
        key: None,
        message: first_line(error),
        allowed: None,
    }
}

fn first_line(error: &toml::de::Error) -> String {
    error
        .message()
        .lines()
        .next()
        .unwrap_or_default()
        .to_owned()
}

fn line_number(text: &str, offset: usize) -> usize {
    let before = text.bytes().take(offset);
    before.filter(|b| *b == b'\n').count() + 1
}
