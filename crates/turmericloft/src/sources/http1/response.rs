//! A complete response of a server.

use std::sync::Arc;

use bytes::Bytes;

use super::{Headers, body_budget::BodyShare};

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
    pub body: Bytes,
    /// Whether the connection can carry another request.
    pub can_reuse_connection: bool,
    /// Held until the last copy of the response is dropped.
    pub(super) _body_share: Option<Arc<BodyShare>>,
}
