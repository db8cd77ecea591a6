//! Definitions of the keys of settings files.

use serde::de::DeserializeOwned;

/// Definition of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingKey {
    /// Name of the key at the top level of the file.
    pub name: &'static str,
    /// Description of the allowed values, shown with faults.
    pub allowed: &'static str,
    /// An allowed value, in TOML syntax.
    pub example: &'static str,
    /// Whether the key has no default and must be set.
    pub required: bool,
}

/// Settings that can be loaded from a TOML file.
pub trait Settings: DeserializeOwned {
    /// Definitions of all keys.
    const KEYS: &'static [SettingKey];
}

impl SettingKey {
    /// Defines a key without a default.
    pub(super) const fn required(
        name: &'static str,
        allowed: &'static str,
        example: &'static str,
    ) -> Self {
        Self {
            name,
            allowed,
            example,
            required: true,
        }
    }

    /// Defines a key with a default.
    pub(super) const fn optional(
        name: &'static str,
        allowed: &'static str,
        example: &'static str,
    ) -> Self {
        Self {
            name,
            allowed,
            example,
            required: false,
        }
    }
}
