//! Message body framing and incremental decoding of bodies.

use bytes::{Buf, BytesMut};

use super::{Body, Headers, body_builder::BodyBuilder};
use crate::core::memory::Charge;

/// Longest chunk size line or trailer line, in bytes.
const MAX_CHUNK_LINE: usize = 1 << 10;
/// Longest line with a chunk's size and without an extension, in bytes.
const PLAIN_CHUNK_LINE: usize = 18;
/// Largest total of chunk extensions and trailer fields of one body, in bytes. They are discarded.
const MAX_DISCARDED: usize = 16 << 10;

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes (`Content-Length`).
    Length(u64),
    /// The body ends with the last chunk (`Transfer-Encoding: chunked`).
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// The framing headers are malformed, contradictory or not supported. Such a message is not
/// forwarded: the next hop might find another end of the body (request smuggling).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidFraming;

impl BodyFraming {
    /// Framing given by the headers; `None` without a framing header.
    pub fn from_headers(headers: &Headers, http_11: bool) -> Result<Option<Self>, InvalidFraming> {
        let mut lengths = headers.get_all("content-length");
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err(InvalidFraming);
        }
        let mut encodings = headers.get_all("transfer-encoding");
        match (length, encodings.next()) {
            (None, None) => Ok(None),
            (Some(text), None) => parse_length(text).map(|n| Some(Self::Length(n))),
            (None, Some(encoding)) => {
                let chunked = encoding.eq_ignore_ascii_case(b"chunked");
                if http_11 && chunked && encodings.next().is_none() {
                    Ok(Some(Self::Chunked))
                } else {
                    Err(InvalidFraming)
                }
            }
            (Some(_), Some(_)) => Err(InvalidFraming),
        }
    }
}

fn parse_length(text: &[u8]) -> Result<u64, InvalidFraming> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).map_err(|_| InvalidFraming)?;
    match text.parse() {
        Ok(n) if digits => Ok(n),
        _ => Err(InvalidFraming),
    }
}

/// Why a body cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyDecodeError {
    /// The chunked encoding is malformed.
    BadChunk,
    /// The body exceeds the size limit.
    TooLarge,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailers,
    Done,
}

/// Decodes one body from the bytes of a connection.
#[derive(Debug)]
pub(super) struct BodyDecoder {
    framing: BodyFraming,
    state: ChunkState,
    limit: usize,
    body: BodyBuilder,
    /// Bytes of chunk extensions and trailer fields so far.
    discarded: usize,
}

impl BodyDecoder {
    /// A body of at most `limit` bytes, which takes its memory by `charge`; `None` if that is not limited.
    pub(super) fn new(framing: BodyFraming, limit: usize, charge: Option<Charge>) -> Self {
        let expected = match framing {
            BodyFraming::Length(n) => usize::try_from(n).ok(),
            BodyFraming::Chunked | BodyFraming::UntilClose => None,
        };
        Self {
            framing,
            state: ChunkState::Size,
            limit,
            body: BodyBuilder::new(expected, charge),
            discarded: 0,
        }
    }

    /// The body so far.
    pub(super) fn body(&self) -> &BodyBuilder {
        &self.body
    }

    /// Removes the bytes of the body from `buf`; returns whether the body is complete. Bytes for which memory is missing stay.
    pub(super) fn decode(&mut self, buf: &mut BytesMut) -> Result<bool, BodyDecodeError> {
        match self.framing {
            BodyFraming::Length(n) => {
                let n = usize::try_from(n).map_err(|_| BodyDecodeError::TooLarge)?;
                if n > self.limit {
                    return Err(BodyDecodeError::TooLarge);
                }
                if !self.body.reserve() {
                    return Ok(false);
                }
                self.consume(buf, n - self.body.len())?;
                Ok(self.body.len() == n)
            }
            BodyFraming::UntilClose => {
                self.consume(buf, buf.len())?;
                Ok(false)
            }
            BodyFraming::Chunked => self.decode_chunks(buf),
        }
    }

    /// Returns the body.
    pub(super) fn into_body(self) -> Body {
        self.body.finish()
    }

    fn consume(&mut self, buf: &mut BytesMut, max: usize) -> Result<usize, BodyDecodeError> {
        if self.body.len() + buf.len().min(max) > self.limit {
            return Err(BodyDecodeError::TooLarge);
        }
        Ok(self.body.take_from(buf, max))
    }

    /// Counts bytes that are no part of the body.
    fn discard(&mut self, bytes: usize) -> Result<(), BodyDecodeError> {
        self.discarded += bytes;
        if self.discarded > MAX_DISCARDED {
            return Err(BodyDecodeError::BadChunk);
        }
        Ok(())
    }

    fn decode_chunks(&mut self, buf: &mut BytesMut) -> Result<bool, BodyDecodeError> {
        loop {
            match self.state {
                ChunkState::Size => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        buf.advance(used);
                        self.discard(used.saturating_sub(PLAIN_CHUNK_LINE))?;
                        self.state = match size {
                            0 => ChunkState::Trailers,
                            n => ChunkState::Data(n),
                        };
                    }
                    Ok(httparse::Status::Partial) if buf.len() < MAX_CHUNK_LINE => {
                        return Ok(false);
                    }
                    _ => return Err(BodyDecodeError::BadChunk),
                },
                ChunkState::Data(left) => {
                    let max = usize::try_from(left).map_err(|_| BodyDecodeError::TooLarge)?;
                    let n = self.consume(buf, max)?;
                    if n < max {
                        self.state = ChunkState::Data((max - n) as u64);
                        return Ok(false);
                    }
                    self.state = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => {
                    if buf.len() < 2 {
                        return Ok(false);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(BodyDecodeError::BadChunk);
                    }
                    buf.advance(2);
                    self.state = ChunkState::Size;
                }
                ChunkState::Trailers => match buf.iter().position(|b| *b == b'\n') {
                    Some(end) => {
                        let line = buf.split_to(end + 1);
                        self.discard(line.len())?;
                        if line.trim_ascii().is_empty() {
                            self.state = ChunkState::Done;
                        }
                    }
                    None if buf.len() < MAX_CHUNK_LINE => return Ok(false),
                    None => return Err(BodyDecodeError::BadChunk),
                },
                ChunkState::Done => return Ok(true),
            }
        }
    }
}
