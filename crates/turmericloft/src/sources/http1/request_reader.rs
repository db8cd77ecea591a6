//! Incremental reader of the requests on a client's connection.

use bytes::{Bytes, BytesMut};
use httparse::Status;

use super::{
    Body, BodyFraming, Headers, Request, RequestError,
    framing::{BodyDecodeError, BodyDecoder},
};
use crate::core::memory::{Charge, MemoryAccount, MemoryClass};

/// Maximum number of header fields of a request.
const MAX_HEADERS: usize = 100;

/// Size limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct ReaderLimits {
    /// Largest head, in bytes: request line and header fields.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
}

#[derive(Debug)]
struct PartialRequest {
    req: Request,
    body: BodyDecoder,
}

/// Reads requests from bytes as they arrive; pipelined requests are returned one by one.
#[derive(Debug, Default)]
pub struct RequestReader {
    buf: BytesMut,
    partial: Option<PartialRequest>,
    expects_continue: bool,
    /// What bodies take their memory from; `None` if that is not limited.
    account: Option<MemoryAccount>,
}

impl RequestReader {
    /// Creates a reader with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Like [`new`](Self::new). Bodies take their memory from `account`.
    pub fn with_account(account: MemoryAccount) -> Self {
        Self {
            account: Some(account),
            ..Self::default()
        }
    }

    /// Buffer to which received bytes are appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buf
    }

    /// Whether a part of the next request has been received.
    pub fn has_partial_request(&self) -> bool {
        self.partial.is_some() || !self.buf.is_empty()
    }

    /// Whether the head of the next request is complete, and its body is not.
    pub fn is_in_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Bytes of memory that the body of the next request has taken.
    pub fn held_bytes(&self) -> usize {
        let charge = self.partial.as_ref().and_then(|p| p.body.body().charge());
        charge.map_or(0, Charge::bytes)
    }

    /// Bytes of memory that the body of the next request needs in all, if they are not there.
    pub fn missing_memory(&self) -> Option<usize> {
        self.partial.as_ref()?.body.body().missing()
    }

    /// Has memory reclaimed from others for the body of the next request. Returns whether some will be free soon.
    pub fn reclaim_memory(&self) -> bool {
        let Some(body) = self.partial.as_ref().map(|p| p.body.body()) else {
            return false;
        };
        let (Some(charge), Some(bytes)) = (body.charge(), body.missing()) else {
            return false;
        };
        charge.can_ever_grow_to(bytes) && charge.reclaim(bytes - charge.bytes())
    }

    /// Gives up the request that is being read, with its memory.
    pub fn abandon(&mut self) {
        self.partial = None;
        self.buf = BytesMut::new();
    }

    /// Whether the client waits for `100 Continue` before it sends the body. The flag is reset, so
    /// it is returned once per request.
    pub fn take_expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// Returns the next request, or `None` until it is complete.
    pub fn next(&mut self, limits: &ReaderLimits) -> Result<Option<Request>, RequestError> {
        if self.partial.is_none() && !self.read_head(limits)? {
            return Ok(None);
        }
        let Some(partial) = &mut self.partial else {
            return Ok(None);
        };
        let is_complete = partial.body.decode(&mut self.buf).map_err(|e| match e {
            BodyDecodeError::BadChunk => RequestError::Malformed,
            BodyDecodeError::TooLarge => RequestError::BodyTooLarge,
        })?;
        if !is_complete {
            return Ok(None);
        }
        self.expects_continue = false;
        let partial = self.partial.take();
        Ok(partial.map(|partial| Request {
            body: partial.body.into_body(),
            ..partial.req
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
        let account = self.account.as_ref();
        let charge = account.map(|a| a.charge(MemoryClass::Requests));
        let partial = parse_head(&head, limits, charge)?;
        self.expects_continue = partial.req.headers.contains_token("expect", "100-continue");
        self.partial = Some(partial);
        Ok(true)
    }
}

fn parse_head(
    head: &Bytes,
    limits: &ReaderLimits,
    charge: Option<Charge>,
) -> Result<PartialRequest, RequestError> {
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
    let framing = BodyFraming::from_headers(&headers, http_11).map_err(|_| malformed)?;
    let framing = framing.unwrap_or(BodyFraming::Length(0));
    if matches!(framing, BodyFraming::Length(n) if n > limits.body_bytes as u64) {
        return Err(RequestError::BodyTooLarge);
    }
    let req = Request {
        method: head.slice_ref(method.as_bytes()),
        target: head.slice_ref(target.as_bytes()),
        http_11,
        headers,
        body: Body::default(),
    };
    let body = BodyDecoder::new(framing, limits.body_bytes, charge);
    Ok(PartialRequest { req, body })
}
