//! Requests that can be sent more than once.

use bytes::Bytes;
use http::{Request, request::Parts};
use http_body::Body;
use http_body_util::BodyExt;

use crate::sources::backend::{BodyError, BufferedBody, RequestBody};

/// Largest body that is kept for sending it again, in bytes.
const MAX_KEPT_BYTES: u64 = 64 << 10;

/// A request for a backend server: kept whole, or a stream that can be sent once.
#[derive(Debug)]
pub(super) enum Replay {
    /// Head and body are kept.
    Kept(Parts, Bytes),
    /// The body is too large to be kept, or its length is not known.
    Once(Option<Request<RequestBody>>),
}

impl Replay {
    /// Reads the whole body if it is short.
    pub(super) async fn new(req: Request<RequestBody>) -> Result<Self, BodyError> {
        if req
            .body()
            .size_hint()
            .upper()
            .is_none_or(|n| n > MAX_KEPT_BYTES)
        {
            return Ok(Self::Once(Some(req)));
        }
        let (head, body) = req.into_parts();
        let bytes = body.collect().await?.to_bytes();
        Ok(Self::Kept(head, bytes))
    }

    /// Whether the request is there to be sent.
    pub(super) fn is_left(&self) -> bool {
        !matches!(self, Self::Once(None))
    }

    /// The request, to be sent.
    pub(super) fn take(&mut self) -> Option<Request<RequestBody>> {
        match self {
            Self::Kept(head, bytes) => {
                let body = BufferedBody::new(bytes.clone());
                Some(Request::from_parts(head.clone(), body.boxed_unsync()))
            }
            Self::Once(req) => req.take(),
        }
    }

    /// Gives a request back of which no byte was sent.
    pub(super) fn give_back(&mut self, unsent: Request<RequestBody>) {
        if let Self::Once(req) = self {
            *req = Some(unsent);
        }
    }
}
