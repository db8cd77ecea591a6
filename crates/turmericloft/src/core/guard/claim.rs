//! Claims of idempotency keys, as they are stored in the log.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::ActionKey;
use crate::core::{HostId, Name};

/// First 16 bytes of the SHA-256 digest of an [`ActionKey`] in postcard encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimDigest([u8; 16]);

/// One record of the stream `claims.ENVIRONMENT`: the claims that one gateway appended together.
///
/// Of all records that claim a key, the one with the lowest offset decides which gateway may run
/// the action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Gateway incarnation that made the claims.
    pub holder: HostId,
    /// Digests of the claimed keys.
    pub claims: Vec<ClaimDigest>,
}

impl ClaimDigest {
    /// Computes the digest of a key.
    pub fn of(key: &ActionKey) -> Self {
        let bytes = postcard::to_stdvec(key).unwrap_or_default();
        let full: [u8; 32] = Sha256::digest(&bytes).into();
        let mut digest = [0; 16];
        digest.copy_from_slice(&full[..16]);
        Self(digest)
    }
}

impl ClaimBatch {
    /// Returns the name of an environment's stream of claims.
    pub fn stream_name(environment: &Name) -> String {
        format!("claims.{environment}")
    }

    /// Decodes the body of a record; `None` if it is not a batch of claims.
    pub fn from_record(body: &[u8]) -> Option<Self> {
        postcard::from_bytes(body).ok()
    }

    /// Encodes the batch as the body of a record.
    pub fn to_record(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
