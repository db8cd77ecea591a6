//! Stored responses of guarded actions.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::{Outcome, Problem};

/// Complete response to a guarded action, stored and returned to every copy of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionResponse {
    /// How the action ended.
    pub outcome: Outcome,
    /// HTTP status code.
    pub status: u16,
    /// Header names and values in the order received.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Bytes,
}

impl ActionResponse {
    /// Creates a response with `p` as its body and the headers for it.
    pub fn from_problem(p: &Problem) -> Self {
        let media_type = Problem::MEDIA_TYPE.as_bytes().to_vec();
        let mut headers = vec![("content-type".to_owned(), media_type)];
        if let Some(seconds) = p.retry_after_seconds() {
            headers.push(("retry-after".to_owned(), seconds.to_string().into_bytes()));
        }
        Self {
            outcome: p.outcome,
            status: p.status,
            headers,
            body: serde_json::to_vec(p).unwrap_or_default().into(),
        }
    }

    /// Returns the memory that the response uses, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let text = |(name, value): &(String, Vec<u8>)| name.len() + value.len();
        let header = size_of::<(String, Vec<u8>)>();
        let headers: usize = self.headers.iter().map(|h| header + text(h)).sum();
        size_of::<Self>() + headers + self.body.len()
    }
}
