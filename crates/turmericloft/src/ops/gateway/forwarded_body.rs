//! The body of a backend server's response while it is streamed to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use super::in_flight::InFlight;
use crate::{
    core::{Outcome, Step, counting::InFlightRequest},
    sources::backend::{BodyError, ConnectionLease},
};

/// Streams a response and counts its request as served once the body is complete. If it is dropped
/// before, the request counts as unfinished.
#[derive(Debug)]
pub(super) struct ForwardedBody {
    body: Incoming,
    open: Option<OpenResponse>,
}

/// What is held until the response is complete.
#[derive(Debug)]
pub(super) struct OpenResponse {
    pub(super) count: InFlightRequest,
    pub(super) lease: ConnectionLease,
    pub(super) in_flight: InFlight,
}

impl ForwardedBody {
    pub(super) fn new(body: Incoming, mut open: OpenResponse) -> Self {
        open.count.record_step(Step::AnswerBegun);
        let mut forwarded = Self {
            body,
            open: Some(open),
        };
        if forwarded.body.is_end_stream() {
            forwarded.finish();
        }
        forwarded
    }

    fn finish(&mut self) {
        if let Some(OpenResponse {
            count,
            lease,
            in_flight,
        }) = self.open.take()
        {
            count.end_at(Outcome::Served, Step::Relayed, Instant::now());
            drop(lease);
            drop(in_flight);
        }
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(open) = &mut self.open {
            open.lease.record_bytes();
        }
        if frame.is_none() || self.body.is_end_stream() {
            self.finish();
        }
        Poll::Ready(frame.map(|f| f.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
