//! Values from the command line that override those of a settings file.

use std::str::FromStr;

use toml::{Table, Value};

/// A key and the value that replaces the one in the file, from the flag `--set`.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// Name of the key at the top level of the file.
    pub key: String,
    /// The value, as parsed from TOML.
    pub value: Value,
}

impl FromStr for Override {
    type Err = String;

    /// Parses `KEY=VALUE`. A value that is not valid TOML is used as a string.
    fn from_str(text: &str) -> Result<Self, String> {
        let (key, value) = text
            .split_once('=')
            .ok_or("write KEY=VALUE, with a key of the settings file")?;
        let line = format!("value = {value}");
        let parsed = toml::from_str::<Table>(&line).ok();
        let value = parsed.and_then(|mut table| table.remove("value"));
        let as_string = || Value::String(text[key.len() + 1..].to_owned());
        Ok(Self {
            key: key.trim().to_owned(),
            value: value.unwrap_or_else(as_string),
        })
    }
}
