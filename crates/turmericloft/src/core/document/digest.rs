//! SHA-256 digests of documents and tokens.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::Sha256;

/// SHA-256 of a document's bytes, written in hexadecimal.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "Hex")] [u8; 32]);

/// SHA-256 of a bearer token. Documents hold only hashes, never tokens.
pub type TokenHash = Digest;

impl Digest {
    /// Digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        use sha2::Digest as _;
        Self(Sha256::digest(bytes).into())
    }

    /// The raw bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
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
