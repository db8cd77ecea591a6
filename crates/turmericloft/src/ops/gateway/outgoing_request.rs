//! Requests to backend servers, buffered for retries if they are short.

use bytes::Bytes;
use http::{Request, request::Parts};
use http_body::Body;
use http_body_util::BodyExt;

use crate::sources::backend::{BodyError, BufferedBody, RequestBody};

/// Largest body that is buffered for retries and hedges, in bytes.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// A request to a backend server: buffered, or a stream that can be sent once.
#[derive(Debug)]
pub(super) enum OutgoingRequest {
    /// Head and body, which can be sent any number of times.
    Buffered(Parts, Bytes),
    /// A body that is too large to be buffered, or whose length is not known; `None` once it is
    /// sent.
    Streamed(Option<Request<RequestBody>>),
}

impl OutgoingRequest {
    /// Buffers the body if it is known to be at most [`MAX_BUFFERED_BYTES`] long.
    pub(super) async fn new(req: Request<RequestBody>) -> Result<Self, BodyError> {
        if req
            .body()
            .size_hint()
            .upper()
            .is_none_or(|n| n > MAX_BUFFERED_BYTES)
        {
            return Ok(Self::Streamed(Some(req)));
        }
        let (head, body) = req.into_parts();
        let bytes = body.collect().await?.to_bytes();
        Ok(Self::Buffered(head, bytes))
    }

    /// Whether the request can still be sent.
    pub(super) fn is_available(&self) -> bool {
        !matches!(self, Self::Streamed(None))
    }

    /// A copy of a buffered request, or the streamed request itself; `None` if that was sent.
    pub(super) fn take(&mut self) -> Option<Request<RequestBody>> {
        match self {
            Self::Buffered(head, bytes) => {
                let body = BufferedBody::new(bytes.clone());
                Some(Request::from_parts(head.clone(), body.boxed_unsync()))
            }
            Self::Streamed(req) => req.take(),
        }
    }

    /// Restores a request of which no byte was sent.
    pub(super) fn restore_unsent(&mut self, unsent: Request<RequestBody>) {
        if let Self::Streamed(req) = self {
            *req = Some(unsent);
        }
    }
}
