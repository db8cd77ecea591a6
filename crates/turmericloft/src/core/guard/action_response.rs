//! The one answer to a guarded action.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::{Outcome, Problem};

/// Answer to a guarded action, kept whole and given to every copy of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionResponse {
    /// How the action ended.
    pub outcome: Outcome,
    /// HTTP status code.
    pub status: u16,
    /// Headers in their order: name and value.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Bytes,
}

impl ActionResponse {
    /// A problem as the answer.
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

    /// Memory that the answer takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let text = |(name, value): &(String, Vec<u8>)| name.len() + value.len();
        let header = size_of::<(String, Vec<u8>)>();
        let headers: usize = self.headers.iter().map(|h| header + text(h)).sum();
        size_of::<Self>() + headers + self.body.len()
    }
}
