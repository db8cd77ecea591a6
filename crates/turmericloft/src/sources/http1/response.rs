//! A complete response of a server.

use bytes::Bytes;

use super::{Body, Headers};

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Reason phrase; empty if there is none.
    pub reason: Bytes,
    /// Header fields.
    pub headers: Headers,
    /// Body, with chunked encoding removed.
    pub body: Body,
    /// Whether the connection can carry another request.
    pub can_reuse_connection: bool,
}
