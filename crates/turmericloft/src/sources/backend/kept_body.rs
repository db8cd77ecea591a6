//! A body that is there already, on its way to a backend server.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::BodyError;
use crate::util::fault_point::FaultPoint;

/// A body that is there already, given in two parts, with the points at which the fault matrix injects faults.
#[derive(Debug)]
pub struct KeptBody {
    rest: Bytes,
    begun: bool,
}

impl KeptBody {
    /// A body of these bytes.
    pub fn new(bytes: Bytes) -> Self {
        Self {
            rest: bytes,
            begun: false,
        }
    }
}

impl Body for KeptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let point = if self.begun {
            FaultPoint::Sent
        } else {
            FaultPoint::FirstByteSent
        };
        point.trigger();
        let part = if self.begun {
            self.rest.len()
        } else {
            self.rest.len().div_ceil(2)
        };
        self.begun = true;
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(part)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
