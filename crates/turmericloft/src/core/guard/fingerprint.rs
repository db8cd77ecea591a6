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
        Self::of_segments(service, method, path_and_query, &[body])
    }

    /// Like [`of`](Self::of), with a body in segments.
    pub fn of_segments(
        service: &str,
        method: &str,
        path_and_query: &str,
        body: &[impl AsRef<[u8]>],
    ) -> Self {
        let mut hash = Sha256::new();
        for part in [service, method, path_and_query] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let length: usize = body.iter().map(|segment| segment.as_ref().len()).sum();
        hash.update((length as u64).to_be_bytes());
        body.iter().for_each(|segment| hash.update(segment));
        Self(hash.finalize().into())
    }
}

/// The first bytes in hexadecimal, enough to find a request in a log.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..8].iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
