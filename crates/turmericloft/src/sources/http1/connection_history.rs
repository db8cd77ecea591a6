//! What a connection has carried, as far as it tells to which request a response belongs.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
};

/// Refused ids that are kept of one connection. It is not used further when it has that many.
const MAX_REFUSED_IDS: usize = 64;

/// History of one connection to a server, which may write a response once more.
///
/// A response without an id may be the repetition of an earlier one. A refusal with an id may be one of an earlier
/// request with the same id.
#[derive(Debug, Default)]
pub struct ConnectionHistory {
    /// Requests with an id that were sent.
    requests: u32,
    /// Responses with a status other than 2xx that were received.
    unsuccessful: u32,
    /// Responses that belonged to no request.
    unexpected: u32,
    /// Hashes of the ids of requests that were refused.
    refused: Vec<u64>,
}

impl ConnectionHistory {
    /// Records that a request with an id is sent.
    pub fn record_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Records a complete response with this status, whichever request it belongs to.
    pub(super) fn record_response(&mut self, status: u16, is_expected: bool) {
        let is_success = (200..300).contains(&status);
        self.unsuccessful = self.unsuccessful.saturating_add(u32::from(!is_success));
        self.unexpected = self.unexpected.saturating_add(u32::from(!is_expected));
    }

    /// Records that the server refused the request with this id.
    pub fn record_refusal(&mut self, id: &[u8]) {
        self.refused.push(hash(id));
    }

    /// Whether a request with this id may be sent, so that a refusal of it is no earlier one.
    pub fn allows_request(&self, id: &[u8]) -> bool {
        self.refused.len() < MAX_REFUSED_IDS && !self.refused.contains(&hash(id))
    }

    /// Whether a response without an id, which was just received, belongs to the request that was just sent: no
    /// other one with an id was sent on the connection, and no other response can be repeated but successful ones
    /// to health checks.
    pub fn proves_response_without_id(&self) -> bool {
        self.requests == 1 && self.unsuccessful <= 1 && self.unexpected == 0
    }
}

fn hash(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
