//! Keys that sign action ids.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use rand::{Rng, RngExt};
use sha2::{Digest, Sha256, Sha512};

use crate::core::Name;

/// Length of a key in bytes: one block of SHA-256.
const KEY_BYTES: usize = 64;

/// Signs and verifies action ids with HMAC-SHA256, truncated to [`TAG_BYTES`](Self::TAG_BYTES).
#[derive(Clone)]
pub struct ActionKeys {
    current: [u8; KEY_BYTES],
    previous: Option<[u8; KEY_BYTES]>,
    shared: bool,
}

impl ActionKeys {
    /// Length of an authentication tag, in bytes.
    pub const TAG_BYTES: usize = 16;

    /// Derives the keys from the secret that all gateways of an environment share.
    ///
    /// Tags made with the previous secret are accepted too, so that the secret can be rotated one
    /// host at a time.
    pub fn shared(secret: &str, previous: Option<&str>) -> Self {
        let derive = |secret: &str| Sha512::digest(secret.as_bytes()).into();
        Self {
            current: derive(secret),
            previous: previous.map(derive),
            shared: true,
        }
    }

    /// Creates a random key for this process.
    ///
    /// Other gateways cannot verify the ids of this one; they leave it to the executor.
    pub fn process_local(rng: &mut impl Rng) -> Self {
        Self {
            current: rng.random(),
            previous: None,
            shared: false,
        }
    }

    /// Returns whether this gateway can verify ids that other gateways issued.
    pub fn is_shared(&self) -> bool {
        self.shared
    }

    pub(super) fn sign(
        &self,
        payload: &[u8],
        caller: &Name,
        service: &Name,
    ) -> [u8; Self::TAG_BYTES] {
        let full = mac(&self.current, payload, caller, service)
            .finalize()
            .into_bytes();
        let mut tag = [0; Self::TAG_BYTES];
        tag.copy_from_slice(&full[..Self::TAG_BYTES]);
        tag
    }

    pub(super) fn verify(&self, payload: &[u8], tag: &[u8], caller: &Name, service: &Name) -> bool {
        let matches = |key| {
            mac(key, payload, caller, service)
                .verify_truncated_left(tag)
                .is_ok()
        };
        matches(&self.current) || self.previous.as_ref().is_some_and(matches)
    }
}

impl fmt::Debug for ActionKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ActionKeys").finish_non_exhaustive()
    }
}

fn mac(key: &[u8; KEY_BYTES], payload: &[u8], caller: &Name, service: &Name) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new(&(*key).into());
    for part in [
        payload,
        caller.as_str().as_bytes(),
        service.as_str().as_bytes(),
    ] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}
