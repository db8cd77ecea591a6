//! Body of a stored response that counts its request when it is sent.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::{
    core::{Outcome, Step, counting::InFlightRequest},
    sources::backend::BodyError,
};

/// A buffered body. Its request counts as served once the body was polled to its end, and as
/// unfinished if the body is dropped before.
#[derive(Debug)]
pub(super) struct CountedBody {
    bytes: Bytes,
    count: Option<InFlightRequest>,
}

impl CountedBody {
    pub(super) fn new(bytes: Bytes, mut count: InFlightRequest) -> Self {
        count.record_step(Step::AnswerWhole);
        let mut body = Self {
            bytes,
            count: Some(count),
        };
        if body.bytes.is_empty() {
            body.finish();
        }
        body
    }

    fn finish(&mut self) {
        if let Some(count) = self.count.take() {
            count.end_at(Outcome::Served, Step::Relayed, Instant::now());
        }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let bytes = std::mem::take(&mut self.bytes);
        self.finish();
        let frame = (!bytes.is_empty()).then(|| Ok(Frame::data(bytes)));
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
