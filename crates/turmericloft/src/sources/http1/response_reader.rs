//! Takes one response out of the bytes of a connection.

use bytes::{Buf, Bytes, BytesMut};
use httparse::Status;
use thiserror::Error;

use super::{BodyFraming, Headers, Response, framing::BodyDecoder};

/// Most header lines of a response.
const MAX_HEADERS: usize = 100;
/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why bytes are no whole response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// They are no HTTP.
    #[error("what came is not HTTP/1.1")]
    Malformed,
    /// The connection ended before the response was whole.
    #[error("the connection ended within the response")]
    Truncated,
    /// The body is larger than can be held.
    #[error("the response is too large")]
    TooLarge,
}

#[derive(Debug)]
struct OpenResponse {
    response: Response,
    framing: BodyFraming,
    body: BodyDecoder,
}

/// Takes the response to one request out of bytes as they arrive.
#[derive(Debug)]
pub struct ResponseReader {
    head_only: bool,
    body_bytes: usize,
    open: Option<OpenResponse>,
}

impl ResponseReader {
    /// A reader of the response to a request; one to `HEAD` has no body.
    pub fn new(method: &[u8], body_bytes: usize) -> Self {
        Self {
            head_only: method == b"HEAD",
            body_bytes,
            open: None,
        }
    }

    /// The response, if it is whole. Informational ones are passed over.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Response>, ResponseError> {
        while self.open.is_none() {
            if !self.read_head(buf)? {
                return Ok(None);
            }
        }
        let Some(open) = &mut self.open else {
            return Ok(None);
        };
        let whole = open.body.decode(buf);
        if !whole.map_err(|_| ResponseError::Malformed)? {
            return Ok(None);
        }
        Ok(self.take())
    }

    /// The response, when the connection has ended in order.
    pub fn finish(&mut self) -> Result<Response, ResponseError> {
        let until_close = |o: &OpenResponse| o.framing == BodyFraming::UntilClose;
        if !self.open.as_ref().is_some_and(until_close) {
            return Err(ResponseError::Truncated);
        }
        self.take().ok_or(ResponseError::Truncated)
    }

    fn take(&mut self) -> Option<Response> {
        let open = self.open.take()?;
        Some(Response {
            body: open.body.into_body(),
            ..open.response
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
        if (100..200).contains(&status) {
            buf.advance(used);
            return Ok(!buf.is_empty());
        }
        let head = buf.split_to(used).freeze();
        self.open = Some(self.parse_head(&head)?);
        Ok(true)
    }

    fn parse_head(&self, head: &Bytes) -> Result<OpenResponse, ResponseError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut lines);
        let malformed = ResponseError::Malformed;
        parsed.parse(head).map_err(|_| malformed)?;
        let status = parsed.code.ok_or(malformed)?;
        let reason = parsed.reason.unwrap_or_default();
        let http_11 = parsed.version == Some(1);
        let headers = Headers::from_parsed(head, parsed.headers);
        let told = BodyFraming::told_by(&headers, http_11).map_err(|_| malformed)?;
        let framing = match told {
            _ if self.head_only || status == 204 || status == 304 => BodyFraming::Length(0),
            Some(framing) => framing,
            None => BodyFraming::UntilClose,
        };
        let closes = headers.contains_token("connection", "close") || !http_11;
        Ok(OpenResponse {
            response: Response {
                status,
                reason: Bytes::copy_from_slice(reason.as_bytes()),
                headers,
                body: Bytes::new(),
                can_reuse_connection: !closes && framing != BodyFraming::UntilClose,
            },
            framing,
            body: BodyDecoder::new(framing, self.body_bytes),
        })
    }
}
