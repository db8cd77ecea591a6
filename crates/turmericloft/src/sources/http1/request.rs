//! A complete request of a client.

use bytes::Bytes;

use super::{Body, Headers};

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method, as received.
    pub method: Bytes,
    /// Path and query, as received.
    pub target: Bytes,
    /// Whether the request is HTTP/1.1 rather than HTTP/1.0.
    pub http_11: bool,
    /// Header fields.
    pub headers: Headers,
    /// Body, with chunked encoding removed.
    pub body: Body,
}

impl Request {
    /// Path and query as text. The reader only accepts UTF-8 here.
    pub fn target(&self) -> &str {
        std::str::from_utf8(&self.target).unwrap_or_default()
    }

    /// Whether the client wants the connection closed after the response.
    pub fn wants_close(&self) -> bool {
        self.headers.contains_token("connection", "close")
            || (!self.http_11 && !self.headers.contains_token("connection", "keep-alive"))
    }
}
