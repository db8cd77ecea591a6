//! An organisation whose callers share keys, a rank and a quota.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::RequestQuota;
use crate::core::document::Digest;

/// SHA-256 of the key of an organisation. Documents contain only digests, never keys.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Digest::of(key))
    }
}

impl fmt::Debug for KeyDigest {
    /// Shows nothing of the digest, by which a short key could be guessed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// An organisation that sends requests with one of its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name, unique in its document. Endpoints learn it with each request.
    pub name: Arc<str>,
    /// Digests of its keys. No other organisation of the document has one of them.
    pub keys: Vec<KeyDigest>,
    /// Priority rank under load, which goes before the rank of a route; 0 is the most urgent.
    pub rank: u32,
    /// Requests that it may send through all gateways together; `None` if they are not limited.
    pub quota: Option<RequestQuota>,
}
