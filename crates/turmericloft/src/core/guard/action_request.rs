//! Buffered requests for guarded actions.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::core::Name;

/// A complete request for a guarded action, as it is sent to a backend server.
///
/// Gateways forward it to each other in this form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRequest {
    /// Caller that sent the request.
    pub caller: Name,
    /// Service that the request is for.
    pub service: Name,
    /// Kind of the request within the service.
    pub kind: Name,
    /// HTTP method.
    pub method: String,
    /// Path without the leading service name, with the query.
    pub path_and_query: String,
    /// Header names and values in the order received.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Bytes,
}

impl ActionRequest {
    /// Returns the fingerprint that tells copies of this request from other requests.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(
            self.service.as_str(),
            &self.method,
            &self.path_and_query,
            &self.body,
        )
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        let end = self.path_and_query.find('?');
        &self.path_and_query[..end.unwrap_or(self.path_and_query.len())]
    }
}
