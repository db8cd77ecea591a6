//! The body of a backend server's answer on its way to the caller.

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

/// Streams an answer and counts it as served once it is whole. Dropped before, the request
/// counts as unfinished.
#[derive(Debug)]
pub(super) struct RelayedBody {
    body: Incoming,
    open: Option<Relay>,
}

/// What is held until the answer is whole.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) count: InFlightRequest,
    pub(super) lease: ConnectionLease,
    pub(super) in_flight: InFlight,
}

impl RelayedBody {
    pub(super) fn new(body: Incoming, mut relay: Relay) -> Self {
        relay.count.record_step(Step::AnswerBegun);
        let mut relayed = Self {
            body,
            open: Some(relay),
        };
        if relayed.body.is_end_stream() {
            relayed.finish();
        }
        relayed
    }

    fn finish(&mut self) {
        if let Some(Relay {
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

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(open) = &mut self.open {
            open.lease.bytes_moved();
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
