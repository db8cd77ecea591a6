//! Finding all faults of settings at once.

use std::{borrow::Cow, collections::HashMap, path::Path};

use toml::{Spanned, Table, Value, de::DeTable};

use super::{Override, Place, SettingKey, Settings, SettingsFault};

/// Settings from a text and the flags that go before it; or all faults.
pub(super) fn check<T: Settings>(
    path: &Path,
    text: &str,
    overrides: &[Override],
) -> Result<T, Vec<SettingsFault>> {
    let (spanned, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        return Err(errors.iter().map(|e| syntax(path, text, e)).collect());
    }
    let mut places: HashMap<String, Place> = HashMap::new();
    for key in spanned.get_ref().keys() {
        let line = line_of(text, key.span().start);
        places.insert(key.get_ref().to_string(), Place::Line(path.into(), line));
    }
    let mut table: Table = toml::from_str(text).map_err(|e| vec![syntax(path, text, &e)])?;
    for Override { key, value } in overrides {
        places.insert(key.clone(), Place::Flag);
        table.insert(key.clone(), value.clone());
    }
    let mut faults = missing::<T>(path, &table);
    for (key, value) in &table {
        let place = places.remove(key).unwrap_or(Place::File(path.into()));
        let fault = wrong::<T>(place, key, value);
        let inner = fault.as_ref().and_then(|f| inner_key(&spanned, f));
        faults.extend(fault.map(|f| f.within(path, inner.map(|i| line_of(text, i)))));
    }
    faults.sort_by(|a, b| a.place.cmp(&b.place));
    if !faults.is_empty() {
        return Err(faults);
    }
    T::deserialize(table).map_err(|e| vec![whole(path, &e)])
}

/// Faults for required keys that are not there.
fn missing<T: Settings>(path: &Path, table: &Table) -> Vec<SettingsFault> {
    let absent = T::KEYS
        .iter()
        .filter(|key| key.required && !table.contains_key(key.name));
    let fault = |key: &SettingKey| SettingsFault {
        place: Place::File(path.into()),
        key: Some(key.name.to_owned()),
        what: "missing".to_owned(),
        allowed: Some(key.allowed),
    };
    absent.map(fault).collect()
}

/// The fault of one key, found by putting its value among values that are all allowed.
fn wrong<T: Settings>(place: Place, key: &str, value: &Value) -> Option<SettingsFault> {
    let mut others = allowed_values::<T>();
    others.insert(key.to_owned(), value.clone());
    let error = T::deserialize(others).err()?;
    let what = first_line(&error);
    let known = T::KEYS.iter().find(|k| k.name == key);
    Some(SettingsFault {
        place,
        key: Some(key.to_owned()),
        what,
        allowed: known.map(|k| k.allowed),
    })
}

/// Offset of the key inside a table that the fault of the table names.
fn inner_key(spanned: &Spanned<DeTable<'_>>, fault: &SettingsFault) -> Option<usize> {
    let table = spanned.get_ref().get(fault.key.as_deref()?)?;
    let keys = table.get_ref().as_table()?.keys();
    // What follows the first name are the names that would be allowed.
    let wrong = fault.what.split('`').nth(1)?;
    let named = |key: &&Spanned<Cow<'_, str>>| key.get_ref() == wrong;
    keys.filter(named).map(|key| key.span().start).next()
}

fn allowed_values<T: Settings>() -> Table {
    let required = T::KEYS.iter().filter(|k| k.required);
    let lines: String = required
        .map(|k| format!("{} = {}\n", k.name, k.example))
        .collect();
    toml::from_str(&lines).unwrap_or_default()
}

fn syntax(path: &Path, text: &str, error: &toml::de::Error) -> SettingsFault {
    let line = error.span().map(|span| line_of(text, span.start));
    SettingsFault {
        place: line.map_or(Place::File(path.into()), |l| Place::Line(path.into(), l)),
        key: None,
        what: first_line(error),
        allowed: None,
    }
}

fn whole(path: &Path, error: &toml::de::Error) -> SettingsFault {
    SettingsFault {
        place: Place::File(path.into()),
        key: None,
        what: first_line(error),
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

fn line_of(text: &str, offset: usize) -> usize {
    let before = text.bytes().take(offset);
    before.filter(|b| *b == b'\n').count() + 1
}
