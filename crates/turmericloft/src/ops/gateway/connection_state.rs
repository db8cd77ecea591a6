//! What the two ends of a caller's connection know of each other.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::response::ResponseBody;
use crate::sources::backend::BodyError;

/// Requests open on one caller's connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    open: AtomicUsize,
    open_everywhere: Arc<AtomicUsize>,
    head_begun: AtomicBool,
    refused: AtomicBool,
}

/// A request whose answer has not been taken over whole; ends when dropped.
#[derive(Debug)]
pub(super) struct OpenAnswer(Arc<ConnectionState>);

/// The body of an answer, which keeps its request open.
#[derive(Debug)]
pub(super) struct OpenBody {
    body: ResponseBody,
    _open: OpenAnswer,
}

impl ConnectionState {
    /// A connection without requests; its requests also count in `open_everywhere`.
    pub(super) fn new(open_everywhere: Arc<AtomicUsize>) -> Self {
        Self {
            open: AtomicUsize::new(0),
            open_everywhere,
            head_begun: AtomicBool::new(false),
            refused: AtomicBool::new(false),
        }
    }

    /// Notes that the head of a request arrived whole.
    pub(super) fn begin(self: &Arc<Self>) -> OpenAnswer {
        self.head_begun.store(false, Ordering::Release);
        self.open.fetch_add(1, Ordering::AcqRel);
        self.open_everywhere.fetch_add(1, Ordering::AcqRel);
        OpenAnswer(Arc::clone(self))
    }

    /// Whether no answer is being made or written.
    pub(super) fn is_idle(&self) -> bool {
        self.open.load(Ordering::Acquire) == 0
    }

    /// Notes that bytes arrived.
    pub(super) fn bytes_arrived(&self) {
        if self.is_idle() {
            self.head_begun.store(true, Ordering::Release);
        }
    }

    /// Whether the head of a request has arrived in part.
    pub(super) fn head_begun(&self) -> bool {
        self.head_begun.load(Ordering::Acquire)
    }

    /// Notes whether the newest request was refused, perhaps before its body was read.
    pub(super) fn set_refused(&self, refused: bool) {
        self.refused.store(refused, Ordering::Release);
    }

    /// Whether the newest request was refused.
    pub(super) fn is_refused(&self) -> bool {
        self.refused.load(Ordering::Acquire)
    }
}

impl OpenAnswer {
    /// The body of the answer.
    pub(super) fn body(self, body: ResponseBody) -> OpenBody {
        OpenBody { body, _open: self }
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
        self.0.open_everywhere.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Body for OpenBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
