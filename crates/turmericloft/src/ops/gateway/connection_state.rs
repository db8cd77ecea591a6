//! State of a caller's connection, shared by its byte stream and its HTTP service.

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

/// Open requests and partial heads on one caller's connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    open: AtomicUsize,
    open_total: Arc<AtomicUsize>,
    has_partial_head: AtomicBool,
}

/// A request whose response is not written completely. Dropping it ends the request.
#[derive(Debug)]
pub(super) struct OpenRequest(Arc<ConnectionState>);

/// The body of a response; its request counts as open until the body is dropped.
#[derive(Debug)]
pub(super) struct TrackedBody {
    body: ResponseBody,
    _open: OpenRequest,
}

impl ConnectionState {
    /// A connection without requests. `open_total` counts the open requests of all connections.
    pub(super) fn new(open_total: Arc<AtomicUsize>) -> Self {
        Self {
            open: AtomicUsize::new(0),
            open_total,
            has_partial_head: AtomicBool::new(false),
        }
    }

    /// Records that the head of a request was received completely.
    pub(super) fn begin(self: &Arc<Self>) -> OpenRequest {
        self.has_partial_head.store(false, Ordering::Release);
        self.open.fetch_add(1, Ordering::AcqRel);
        self.open_total.fetch_add(1, Ordering::AcqRel);
        OpenRequest(Arc::clone(self))
    }

    /// Whether no response is being prepared or written.
    pub(super) fn is_idle(&self) -> bool {
        self.open.load(Ordering::Acquire) == 0
    }

    /// Records received bytes; on an idle connection they begin the head of a request.
    pub(super) fn record_received(&self) {
        if self.is_idle() {
            self.has_partial_head.store(true, Ordering::Release);
        }
    }

    /// Whether the head of a request was received in part.
    pub(super) fn has_partial_head(&self) -> bool {
        self.has_partial_head.load(Ordering::Acquire)
    }
}

impl OpenRequest {
    /// Attaches the request to the body of its response.
    pub(super) fn body(self, body: ResponseBody) -> TrackedBody {
        TrackedBody { body, _open: self }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
        self.0.open_total.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Body for TrackedBody {
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
