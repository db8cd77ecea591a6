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
use parking_lot::Mutex;

use super::response::ResponseBody;
use crate::sources::backend::BodyError;

/// Open requests and partial heads on one caller's connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    open: AtomicUsize,
    open_total: Arc<AtomicUsize>,
    has_partial_head: AtomicBool,
    has_responded: AtomicBool,
    /// Held while bytes of ended responses may be unsent.
    unsent: Mutex<Option<Counted>>,
}

/// A request whose response body has not ended. Dropping it ends the request.
#[derive(Debug)]
pub(super) struct OpenRequest {
    state: Arc<ConnectionState>,
    count: Option<Counted>,
}

/// One of the open requests of all connections, until it is dropped.
#[derive(Debug)]
struct Counted(Arc<AtomicUsize>);

/// The body of a response; its request counts as open until the body is dropped and its bytes are
/// written, see [`ConnectionState::record_sent`].
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
            has_responded: AtomicBool::new(false),
            unsent: Mutex::default(),
        }
    }

    /// Records that the head of a request was received completely.
    pub(super) fn begin(self: &Arc<Self>) -> OpenRequest {
        self.has_partial_head.store(false, Ordering::Release);
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenRequest {
            state: Arc::clone(self),
            count: Some(Counted::new(&self.open_total)),
        }
    }

    /// Records that every byte given to the stream so far was passed on. What the HTTP library
    /// still holds back for the flow control of HTTP/2 is not known here.
    pub(super) fn record_sent(&self) {
        self.unsent.lock().take();
    }

    /// Records that the connection is being closed, and that the kernel may still have bytes of
    /// its responses to send.
    pub(super) fn begin_closing(&self) {
        if self.has_responded.load(Ordering::Acquire) {
            *self.unsent.lock() = Some(Counted::new(&self.open_total));
        }
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
        self.state.open.fetch_sub(1, Ordering::AcqRel);
        self.state.has_responded.store(true, Ordering::Release);
        *self.state.unsent.lock() = self.count.take();
    }
}

impl Counted {
    fn new(total: &Arc<AtomicUsize>) -> Self {
        total.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(total))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
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
