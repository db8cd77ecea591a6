//! SHA-256 digests of documents and tokens.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

/// A SHA-256 digest, serialised in hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

/// A string is not a valid [`Digest`].
#[derive(Debug, Error, PartialEq, Eq)]
#[error("must be 64 hexadecimal digits, found {found} characters")]
pub struct DigestError {
    found: usize,
}

/// SHA-256 of a bearer token. Documents contain only hashes, never tokens.
pub type TokenHash = Digest;

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        use sha2::Digest as _;
        Self(Sha256::digest(bytes).into())
    }

    /// The digest as raw bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl TryFrom<String> for Digest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        let mut bytes = [0; 32];
        let found = text.chars().count();
        hex::decode_to_slice(&text, &mut bytes).map_err(|_| DigestError { found })?;
        Ok(Self(bytes))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}
