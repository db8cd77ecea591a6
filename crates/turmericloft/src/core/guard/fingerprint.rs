//! Fingerprints that tell whether two requests are copies of each other.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 digest of a request's service, method, path with query, and body.
///
/// Headers are not part of it, so copies may differ in them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; 32]);

impl Fingerprint {
    /// Computes the fingerprint of a request. Each part is hashed with its length.
    pub fn of(service: &str, method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        let parts = [
            service.as_bytes(),
            method.as_bytes(),
            path_and_query.as_bytes(),
            body,
        ];
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }
}

/// The first bytes in hexadecimal, enough to find a request in a log.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..8].iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
