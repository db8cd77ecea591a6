//! Takes requests out of the bytes of a client's connection.

use bytes::{Bytes, BytesMut};
use httparse::Status;

use super::{
    BodyFraming, Headers, Request, RequestError,
    framing::{BodyDecoder, BodyFault},
};

/// Most header lines of a request.
const MAX_HEADERS: usize = 100;

/// Bounds of a request.
#[derive(Clone, Copy, Debug)]
pub struct ReaderLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
}

#[derive(Debug)]
struct OpenRequest {
    req: Request,
    body: BodyDecoder,
}

/// Takes requests out of bytes as they arrive; pipelined ones one after the other.
#[derive(Debug, Default)]
pub struct RequestReader {
    buf: BytesMut,
    open: Option<OpenRequest>,
    expects_continue: bool,
}

impl RequestReader {
    /// Nothing has arrived yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Where arriving bytes are put.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buf
    }

    /// Whether a request has begun to arrive.
    pub fn has_partial_request(&self) -> bool {
        self.open.is_some() || !self.buf.is_empty()
    }

    /// Whether the client waits for a sign before it sends the body; tells it once.
    pub fn take_expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// The next request, if it is whole.
    pub fn next(&mut self, limits: &ReaderLimits) -> Result<Option<Request>, RequestError> {
        if self.open.is_none() && !self.read_head(limits)? {
            return Ok(None);
        }
        let Some(open) = &mut self.open else {
            return Ok(None);
        };
        let whole = open.body.decode(&mut self.buf).map_err(|e| match e {
            BodyFault::BadChunk => RequestError::Malformed,
            BodyFault::TooLarge => RequestError::BodyTooLarge,
        })?;
        if !whole {
            return Ok(None);
        }
        self.expects_continue = false;
        let open = self.open.take();
        Ok(open.map(|open| Request {
            body: open.body.into_body(),
            ..open.req
        }))
    }

    fn read_head(&mut self, limits: &ReaderLimits) -> Result<bool, RequestError> {
        if self.buf.is_empty() {
            return Ok(false);
        }
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut lines);
        let used = match parsed.parse(&self.buf) {
            Ok(Status::Complete(used)) => used,
            Ok(Status::Partial) if self.buf.len() > limits.head_bytes => {
                return Err(RequestError::HeadTooLarge);
            }
            Ok(Status::Partial) => return Ok(false),
            Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLarge),
            Err(_) => return Err(RequestError::Malformed),
        };
        if used > limits.head_bytes {
            return Err(RequestError::HeadTooLarge);
        }
        let head = self.buf.split_to(used).freeze();
        let open = parse_head(&head, limits)?;
        self.expects_continue = open.req.headers.contains_token("expect", "100-continue");
        self.open = Some(open);
        Ok(true)
    }
}

fn parse_head(head: &Bytes, limits: &ReaderLimits) -> Result<OpenRequest, RequestError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let malformed = RequestError::Malformed;
    parsed.parse(head).map_err(|_| malformed)?;
    let method = parsed.method.ok_or(malformed)?;
    let target = parsed.path.ok_or(malformed)?;
    let http_11 = parsed.version == Some(1);
    let headers = Headers::from_parsed(head, parsed.headers);
    if !target.starts_with('/') || method == "CONNECT" || headers.get_all("host").count() != 1 {
        return Err(malformed);
    }
    let framing = BodyFraming::told_by(&headers, http_11).map_err(|_| malformed)?;
    let framing = framing.unwrap_or(BodyFraming::Length(0));
    if matches!(framing, BodyFraming::Length(n) if n > limits.body_bytes as u64) {
        return Err(RequestError::BodyTooLarge);
    }
    let req = Request {
        method: head.slice_ref(method.as_bytes()),
        target: head.slice_ref(target.as_bytes()),
        http_11,
        headers,
        body: Bytes::new(),
    };
    let body = BodyDecoder::new(framing, limits.body_bytes);
    Ok(OpenRequest { req, body })
}
