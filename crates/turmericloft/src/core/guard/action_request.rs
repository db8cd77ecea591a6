//! Requests for guarded actions, as they are held and forwarded.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::core::Name;

/// A whole request for a guarded action, as its backend server will get it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRequest {
    /// The caller.
    pub caller: Name,
    /// The service.
    pub service: Name,
    /// The kind.
    pub kind: Name,
    /// Method.
    pub method: String,
    /// Path after the service's name, with the query.
    pub path_and_query: String,
    /// Headers in their order: name and value.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Bytes,
}

impl ActionRequest {
    /// Fingerprint by which copies of the request are told from other requests.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(
            self.service.as_str(),
            &self.method,
            &self.path_and_query,
            &self.body,
        )
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        let end = self.path_and_query.find('?');
        &self.path_and_query[..end.unwrap_or(self.path_and_query.len())]
    }
}
