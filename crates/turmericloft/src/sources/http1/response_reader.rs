//! Incremental reader of one response.

use bytes::{Buf, Bytes, BytesMut};
use httparse::Status;
use thiserror::Error;

use super::{
    Body, BodyFraming, Headers, Response,
    framing::{BodyDecodeError, BodyDecoder},
};
use crate::{
    core::memory::{Charge, MemoryAccount, MemoryClass},
    sources::response_status::ResponseKind,
};

/// Maximum number of header fields of a response.
const MAX_HEADERS: usize = 100;
/// Largest head of a response, in bytes: status line and header fields.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Beginning of a status line.
const HTTP_1: &[u8] = b"HTTP/1.";
/// Maximum number of informational responses before a response.
const MAX_INFORMATIONAL: u32 = 16;

/// Why the bytes received are not a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// They are not HTTP/1.1, the framing is invalid, or the body is malformed.
    #[error("the bytes received are not an HTTP/1.1 response")]
    Malformed,
    /// The connection was closed before the response was complete.
    #[error("the connection was closed before the response was complete")]
    Truncated,
    /// The body exceeds the size limit, or the memory that large bodies share.
    #[error("the response body is too large")]
    TooLarge,
}

impl From<BodyDecodeError> for ResponseError {
    fn from(e: BodyDecodeError) -> Self {
        match e {
            BodyDecodeError::TooLarge => Self::TooLarge,
            BodyDecodeError::BadChunk => Self::Malformed,
        }
    }
}

#[derive(Debug)]
struct PartialResponse {
    response: Response,
    framing: BodyFraming,
    body: BodyDecoder,
}

impl PartialResponse {
    /// Whether the body may wait for memory. One of unknown length has taken some already, and would wait for others like it.
    fn may_wait(&self) -> bool {
        let BodyFraming::Length(n) = self.framing else {
            return false;
        };
        let charge = self.body.body().charge();
        charge.is_some_and(|c| usize::try_from(n).is_ok_and(|n| c.can_ever_grow_to(n)))
    }
}

/// How large the body of a response may be.
#[derive(Clone, Debug)]
pub struct ResponseLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// What the body takes its memory from; `None` if that is not limited.
    pub memory: Option<MemoryAccount>,
}

/// Reads the response to one request from bytes as they arrive.
#[derive(Debug)]
pub struct ResponseReader {
    is_head_request: bool,
    limits: ResponseLimits,
    /// Informational responses so far.
    informational: u32,
    partial: Option<PartialResponse>,
}

impl ResponseReader {
    /// Creates a reader of the response to a request with this method; the response to `HEAD` has
    /// no body.
    pub fn new(method: &[u8], limits: ResponseLimits) -> Self {
        Self {
            is_head_request: method == b"HEAD",
            limits,
            informational: 0,
            partial: None,
        }
    }

    /// Returns the response, or `None` until it is complete. Informational (1xx) responses are
    /// skipped.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Response>, ResponseError> {
        while self.partial.is_none() {
            if !self.read_head(buf)? {
                return Ok(None);
            }
        }
        let Some(partial) = &mut self.partial else {
            return Ok(None);
        };
        let decoded = partial.body.decode(buf);
        if decoded? {
            return Ok(self.take());
        }
        if partial.body.body().missing().is_some() && !partial.may_wait() {
            return Err(ResponseError::TooLarge);
        }
        Ok(None)
    }

    /// Whether nothing can be read before others have given up memory. Has memory that makes no progress reclaimed.
    pub fn awaits_memory(&self) -> bool {
        let body = self.partial.as_ref().map(|p| p.body.body());
        let missing = body.and_then(|b| Some((b.charge()?, b.missing()?)));
        if let Some((charge, bytes)) = missing {
            charge.reclaim(bytes);
        }
        missing.is_some()
    }

    /// Number of informational responses so far.
    pub fn informational(&self) -> u32 {
        self.informational
    }

    /// The head of the response that is being read, without a body; `None` before it is complete.
    pub fn head(&self) -> Option<&Response> {
        self.partial.as_ref().map(|partial| &partial.response)
    }

    /// Returns the response after the server closed the connection, which is the regular end of a
    /// body without other framing.
    pub fn finish(&mut self) -> Result<Response, ResponseError> {
        let until_close = |r: &PartialResponse| r.framing == BodyFraming::UntilClose;
        if !self.partial.as_ref().is_some_and(until_close) {
            return Err(ResponseError::Truncated);
        }
        self.take().ok_or(ResponseError::Truncated)
    }

    fn take(&mut self) -> Option<Response> {
        let partial = self.partial.take()?;
        Some(Response {
            body: partial.body.into_body(),
            ..partial.response
        })
    }

    fn read_head(&mut self, buf: &mut BytesMut) -> Result<bool, ResponseError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut lines);
        let used = match parsed.parse(buf) {
            Ok(Status::Complete(used)) => used,
            Ok(Status::Partial) if buf.len() <= MAX_HEAD_BYTES => return Ok(false),
            _ => return Err(ResponseError::Malformed),
        };
        let status = parsed.code.ok_or(ResponseError::Malformed)?;
        if has_second_status_line(&buf[..used]) {
            return Err(ResponseError::Malformed);
        }
        let kind = ResponseKind::of(status).map_err(|_| ResponseError::Malformed)?;
        if kind == ResponseKind::Informational {
            buf.advance(used);
            self.informational += 1;
            if self.informational > MAX_INFORMATIONAL {
                return Err(ResponseError::Malformed);
            }
            return Ok(!buf.is_empty());
        }
        let head = buf.split_to(used).freeze();
        self.partial = Some(self.parse_head(&head)?);
        Ok(true)
    }

    fn parse_head(&self, head: &Bytes) -> Result<PartialResponse, ResponseError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut lines);
        let malformed = ResponseError::Malformed;
        parsed.parse(head).map_err(|_| malformed)?;
        let status = parsed.code.ok_or(malformed)?;
        let reason = parsed.reason.unwrap_or_default();
        let http_11 = parsed.version == Some(1);
        let headers = Headers::from_parsed(head, parsed.headers);
        let declared = BodyFraming::from_headers(&headers, http_11).map_err(|_| malformed)?;
        let framing = match declared {
            _ if self.is_head_request || status == 204 || status == 304 => BodyFraming::Length(0),
            Some(framing) => framing,
            None => BodyFraming::UntilClose,
        };
        let memory = self.limits.memory.as_ref();
        let charge: Option<Charge> = memory.map(|m| m.charge(MemoryClass::Responses));
        let closes = headers.contains_token("connection", "close") || !http_11;
        Ok(PartialResponse {
            response: Response {
                status,
                reason: Bytes::copy_from_slice(reason.as_bytes()),
                headers,
                body: Body::default(),
                can_reuse_connection: !closes && framing != BodyFraming::UntilClose,
            },
            framing,
            body: BodyDecoder::new(framing, self.limits.body_bytes, charge),
        })
    }
}

/// Whether a head contains a status line behind its own: the beginning of another response that ends within a header
/// value joins the response that follows, and would get its id.
fn has_second_status_line(head: &[u8]) -> bool {
    let is_status_line = |text: &[u8]| {
        let (version, status) = text.split_at(HTTP_1.len());
        let (minor, code) = status.split_at(2);
        version == HTTP_1
            && minor[0].is_ascii_digit()
            && minor[1] == b' '
            && code.iter().all(u8::is_ascii_digit)
    };
    let length = HTTP_1.len() + "1 200".len();
    head.windows(length).skip(1).any(is_status_line)
}
