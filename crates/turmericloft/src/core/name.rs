//! Names of services, callers, kinds, zones and hosts.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name accepted, in bytes: the length of one DNS label.
const MAX_NAME_BYTES: usize = 63;

/// A validated name: 1 to 63 lower-case ASCII letters, digits and inner hyphens.
///
/// Clones share the text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// A text is not a valid [`Name`]. Holds the start of the text.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a name: use 1 to 63 of a-z, 0-9 and inner hyphens")]
pub struct NameError(String);

impl Name {
    /// Validates `text` as a name.
    pub fn new(text: &str) -> Result<Self, NameError> {
        let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        let has_valid_length = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
        let has_inner_hyphens = !text.starts_with('-') && !text.ends_with('-');
        if has_valid_length && has_inner_hyphens && text.bytes().all(is_allowed) {
            Ok(Self(text.into()))
        } else {
            Err(NameError(text.chars().take(MAX_NAME_BYTES).collect()))
        }
    }

    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        Self::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.as_str().to_owned()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
