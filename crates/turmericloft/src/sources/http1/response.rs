//! A whole response.

use bytes::Bytes;

use super::Headers;

/// A response with its body.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Text behind the status code.
    pub reason: Bytes,
    /// Headers.
    pub headers: Headers,
    /// Body, without its framing.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub can_reuse_connection: bool,
}
