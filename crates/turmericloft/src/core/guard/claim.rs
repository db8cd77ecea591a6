//! Claims of callers' own keys, as they stand in the log.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::ActionKey;
use crate::core::{HostId, Name};

/// First 16 bytes of the SHA-256 of an action's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimDigest([u8; 16]);

/// One record of the stream `claims.ENVIRONMENT`: claims that one gateway made together.
/// The record with the lowest offset decides who may run an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// The only gateway incarnation that may run the actions, if no earlier record claims them.
    pub holder: HostId,
    /// The actions.
    pub claims: Vec<ClaimDigest>,
}

impl ClaimDigest {
    /// Digest of an action's key.
    pub fn of(key: &ActionKey) -> Self {
        let bytes = postcard::to_stdvec(key).unwrap_or_default();
        let full: [u8; 32] = Sha256::digest(&bytes).into();
        let mut digest = [0; 16];
        digest.copy_from_slice(&full[..16]);
        Self(digest)
    }
}

impl ClaimBatch {
    /// Name of the stream of an environment.
    pub fn stream_name(environment: &Name) -> String {
        format!("claims.{environment}")
    }

    /// Reads a record; `None` if it is not one of this program's.
    pub fn from_record(body: &[u8]) -> Option<Self> {
        postcard::from_bytes(body).ok()
    }

    /// The record's bytes.
    pub fn to_record(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
