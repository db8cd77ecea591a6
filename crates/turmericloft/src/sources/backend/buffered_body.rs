//! A request body in memory.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::BodyError;
use crate::util::fault_point::FaultPoint;

/// A request body in memory that is sent in two frames, with a fault point before each, at which
/// the fault matrix injects faults.
#[derive(Debug)]
pub struct BufferedBody {
    rest: Bytes,
    has_begun: bool,
}

impl BufferedBody {
    /// A body with the content `bytes`.
    pub fn new(bytes: Bytes) -> Self {
        Self {
            rest: bytes,
            has_begun: false,
        }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let point = if self.has_begun {
            FaultPoint::Sent
        } else {
            FaultPoint::FirstByteSent
        };
        point.trigger();
        let part = if self.has_begun {
            self.rest.len()
        } else {
            self.rest.len().div_ceil(2)
        };
        self.has_begun = true;
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(part)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
