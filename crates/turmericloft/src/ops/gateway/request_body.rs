//! The body of a caller's request while it is read and streamed to a backend server.

use std::{
    collections::VecDeque,
    pin::Pin,
    sync::{Arc, OnceLock},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep, timeout};

use super::request_body_error::RequestBodyError;
use crate::sources::backend::{BodyError, RequestBody};

/// Bytes of a body that are read before the request is forwarded. A body that ends within them
/// occupies no slot of an endpoint while its caller is slow, and is complete when it is sent.
const READ_AHEAD_BYTES: u64 = 64 << 10;

/// Limits on a request body, from the service and the gateway settings.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyLimits {
    /// Largest body, in bytes.
    pub(super) bytes: u64,
    /// Longest time allowed without a byte.
    pub(super) pause: Duration,
}

/// A body that is ready to be sent, and the error that may occur while the rest is streamed.
pub(super) struct ReceivedBody {
    pub(super) body: RequestBody,
    pub(super) error: Arc<OnceLock<RequestBodyError>>,
}

/// A body that is longer than what is read ahead, and is streamed.
struct StreamedBody {
    read_ahead: VecDeque<Bytes>,
    rest: Incoming,
    remaining: u64,
    limits: BodyLimits,
    pause: Pin<Box<Sleep>>,
    error: Arc<OnceLock<RequestBodyError>>,
}

impl ReceivedBody {
    /// Reads up to [`READ_AHEAD_BYTES`] of a body; a shorter body is read to its end.
    pub(super) async fn read(
        mut body: Incoming,
        limits: BodyLimits,
    ) -> Result<Self, RequestBodyError> {
        let too_large = RequestBodyError::TooLarge {
            limit: limits.bytes,
        };
        if body.size_hint().lower() > limits.bytes {
            return Err(too_large);
        }
        let mut read_ahead = VecDeque::new();
        let mut read = 0;
        while !body.is_end_stream() && read < READ_AHEAD_BYTES {
            let Some(data) = next_data(&mut body, limits.pause).await? else {
                break;
            };
            read += data.len() as u64;
            if read > limits.bytes {
                return Err(too_large);
            }
            read_ahead.push_back(data);
        }
        Ok(Self::new(body, read_ahead, limits))
    }

    fn new(rest: Incoming, mut read_ahead: VecDeque<Bytes>, limits: BodyLimits) -> Self {
        let error = Arc::default();
        if rest.is_end_stream() && read_ahead.len() <= 1 {
            let complete = read_ahead.pop_front().unwrap_or_default();
            let body = Full::new(complete).map_err(|never| match never {});
            return Self {
                body: body.boxed_unsync(),
                error,
            };
        }
        let read: u64 = read_ahead.iter().map(|b| b.len() as u64).sum();
        let streamed = StreamedBody {
            read_ahead,
            rest,
            remaining: limits.bytes - read,
            limits,
            pause: Box::pin(sleep(limits.pause)),
            error: Arc::clone(&error),
        };
        Self {
            body: streamed.boxed_unsync(),
            error,
        }
    }
}

/// The next bytes of a body; `None` at its end.
async fn next_data(
    body: &mut Incoming,
    pause: Duration,
) -> Result<Option<Bytes>, RequestBodyError> {
    loop {
        let frame = timeout(pause, body.frame())
            .await
            .map_err(|_| RequestBodyError::TooSlow { pause })?;
        match frame {
            None => return Ok(None),
            Some(Err(_)) => return Err(RequestBodyError::Incomplete),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

impl StreamedBody {
    fn record_error(&self, error: RequestBodyError) -> BodyError {
        (*self.error.get_or_init(|| error)).into()
    }

    fn check_size(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
        let limit = self.limits.bytes;
        self.remaining = self
            .remaining
            .checked_sub(bytes)
            .ok_or_else(|| self.record_error(RequestBodyError::TooLarge { limit }))?;
        Ok(frame)
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(data) = self.read_ahead.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let limit = self.limits.pause;
        match Pin::new(&mut self.rest).poll_frame(cx) {
            Poll::Ready(frame) => {
                self.pause.as_mut().reset(Instant::now() + limit);
                let frame = frame.map(|f| match f {
                    Ok(frame) => self.check_size(frame),
                    Err(_) => Err(self.record_error(RequestBodyError::Incomplete)),
                });
                Poll::Ready(frame)
            }
            Poll::Pending => self.pause.as_mut().poll(cx).map(|()| {
                let error = RequestBodyError::TooSlow { pause: limit };
                Some(Err(self.record_error(error)))
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.read_ahead.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let ahead: u64 = self.read_ahead.iter().map(|b| b.len() as u64).sum();
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(ahead + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(ahead + upper);
        }
        hint
    }
}
