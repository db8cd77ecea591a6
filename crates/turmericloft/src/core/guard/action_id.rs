//! Action ids that gateways issue.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{ActionKey, ActionKeys};
use crate::core::{HostId, Name};

/// Longest text parsed as an id, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// Identifies one guarded action and the only gateway incarnation that may run it.
///
/// The text form is URL-safe, unpadded base64 of the postcard encoding followed by an
/// authentication tag over the encoding, the caller and the service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActionId {
    /// The only gateway incarnation that may run the action.
    pub executor: HostId,
    /// Expiry time by the executor's clock, in milliseconds since the Unix epoch. The action is not
    /// started at or after this time.
    pub expires_ms: u64,
    nonce: u128,
}

/// Why a text is not accepted as an action id.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ActionIdError {
    /// The text is too long, or is not the encoding of an id and a tag.
    #[error("the action id is malformed")]
    Malformed,
    /// The authentication tag matches neither the current nor the previous key for this caller and
    /// service.
    #[error("the action id was not issued to this caller for this service")]
    InvalidTag,
}

impl ActionId {
    /// Creates an id with a random nonce for an action that only `executor` may run.
    pub fn issue(executor: HostId, expires_ms: u64, rng: &mut impl Rng) -> Self {
        Self {
            executor,
            expires_ms,
            nonce: rng.random(),
        }
    }

    /// Encodes the id as text, signed for `caller` and `service`.
    pub fn to_text(&self, keys: &ActionKeys, caller: &Name, service: &Name) -> String {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        let tag = keys.sign(&bytes, caller, service);
        bytes.extend_from_slice(&tag);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Parses the text form without verifying its tag.
    pub fn parse(text: &str) -> Result<Self, ActionIdError> {
        Ok(split(text)?.0)
    }

    /// Parses the text form and verifies that it was issued to `caller` for `service`.
    pub fn verify(
        text: &str,
        keys: &ActionKeys,
        caller: &Name,
        service: &Name,
    ) -> Result<Self, ActionIdError> {
        let (id, bytes) = split(text)?;
        let (payload, tag) = bytes.split_at(bytes.len() - ActionKeys::TAG_BYTES);
        if keys.verify(payload, tag, caller, service) {
            Ok(id)
        } else {
            Err(ActionIdError::InvalidTag)
        }
    }

    /// Returns the key of the action in its executor's [`ActionTable`](super::ActionTable).
    pub fn key(&self) -> ActionKey {
        ActionKey::Issued {
            incarnation: self.executor.incarnation,
            nonce: self.nonce,
        }
    }
}

fn split(text: &str) -> Result<(ActionId, Vec<u8>), ActionIdError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(ActionIdError::Malformed);
    }
    let bytes = URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_| ActionIdError::Malformed)?;
    let end = bytes
        .len()
        .checked_sub(ActionKeys::TAG_BYTES)
        .ok_or(ActionIdError::Malformed)?;
    let (id, rest) =
        postcard::take_from_bytes(&bytes[..end]).map_err(|_| ActionIdError::Malformed)?;
    if rest.is_empty() {
        Ok((id, bytes))
    } else {
        Err(ActionIdError::Malformed)
    }
}
