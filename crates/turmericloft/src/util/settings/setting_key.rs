//! Keys of settings files.

use serde::de::DeserializeOwned;

/// A key as documented.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingKey {
    /// The key.
    pub name: &'static str,
    /// Values allowed.
    pub allowed: &'static str,
    /// An allowed value, in TOML.
    pub example: &'static str,
    /// Whether the file must have it.
    pub required: bool,
}

/// Settings that are read from a file.
pub trait Settings: DeserializeOwned {
    /// All keys.
    const KEYS: &'static [SettingKey];
}

impl SettingKey {
    /// A key that the file must have.
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

    /// A key that has a default.
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
