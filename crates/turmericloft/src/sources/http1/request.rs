//! A whole request of a client.

use bytes::Bytes;

use super::Headers;

/// A request with its body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method, as it came.
    pub method: Bytes,
    /// Path and query, as they came.
    pub target: Bytes,
    /// Whether the client speaks HTTP/1.1.
    pub http_11: bool,
    /// Headers.
    pub headers: Headers,
    /// Body, without its framing.
    pub body: Bytes,
}

impl Request {
    /// Path and query as text; a request line with other bytes is never accepted.
    pub fn target(&self) -> &str {
        std::str::from_utf8(&self.target).unwrap_or_default()
    }

    /// Whether the client wants the connection closed after the answer.
    pub fn wants_close(&self) -> bool {
        self.headers.contains_token("connection", "close")
            || (!self.http_11 && !self.headers.contains_token("connection", "keep-alive"))
    }
}
