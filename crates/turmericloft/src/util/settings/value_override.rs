//! Values that go before those of a settings file.

use std::str::FromStr;

use toml::{Table, Value};

/// A key with its value, from a flag.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Value,
}

impl FromStr for Override {
    type Err = String;

    /// Reads `KEY=VALUE`. A value that is not TOML is taken as a text.
    fn from_str(text: &str) -> Result<Self, String> {
        let (key, value) = text
            .split_once('=')
            .ok_or("write KEY=VALUE, with a key of the settings file")?;
        let line = format!("value = {value}");
        let parsed = toml::from_str::<Table>(&line).ok();
        let value = parsed.and_then(|mut table| table.remove("value"));
        let as_text = || Value::String(text[key.len() + 1..].to_owned());
        Ok(Self {
            key: key.trim().to_owned(),
            value: value.unwrap_or_else(as_text),
        })
    }
}
