//! Where a body ends, and the bodies as they come in.

use bytes::{Buf, Bytes, BytesMut};

use super::Headers;

/// Longest line of a chunk's size, or trailer, in bytes.
const MAX_CHUNK_LINE: usize = 1 << 10;

/// How a message says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// With its connection.
    UntilClose,
}

/// A message that does not say clearly where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnclearFraming;

impl BodyFraming {
    /// The framing that the headers tell; none if they tell nothing.
    pub fn told_by(headers: &Headers, http_11: bool) -> Result<Option<Self>, UnclearFraming> {
        let mut lengths = headers.get_all("content-length");
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err(UnclearFraming);
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
                    Err(UnclearFraming)
                }
            }
            (Some(_), Some(_)) => Err(UnclearFraming),
        }
    }
}

fn parse_length(text: &[u8]) -> Result<u64, UnclearFraming> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).map_err(|_| UnclearFraming)?;
    match text.parse() {
        Ok(n) if digits => Ok(n),
        _ => Err(UnclearFraming),
    }
}

/// Why a body cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFault {
    /// The chunks are not well formed.
    BadChunk,
    /// The body is larger than allowed.
    TooLarge,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkStep {
    Size,
    Data(u64),
    DataEnd,
    Trailers,
    Done,
}

/// Takes a body out of the bytes of its connection.
#[derive(Debug)]
pub(super) struct BodyDecoder {
    framing: BodyFraming,
    step: ChunkStep,
    limit: usize,
    body: BytesMut,
}

impl BodyDecoder {
    pub(super) fn new(framing: BodyFraming, limit: usize) -> Self {
        Self {
            framing,
            step: ChunkStep::Size,
            limit,
            body: BytesMut::new(),
        }
    }

    /// Takes what belongs to the body out of `buf`; true when the body is whole.
    pub(super) fn decode(&mut self, buf: &mut BytesMut) -> Result<bool, BodyFault> {
        match self.framing {
            BodyFraming::Length(n) => {
                let n = usize::try_from(n).map_err(|_| BodyFault::TooLarge)?;
                if n > self.limit {
                    return Err(BodyFault::TooLarge);
                }
                self.take(buf, n - self.body.len())?;
                Ok(self.body.len() == n)
            }
            BodyFraming::UntilClose => {
                self.take(buf, buf.len())?;
                Ok(false)
            }
            BodyFraming::Chunked => self.decode_chunks(buf),
        }
    }

    /// The body.
    pub(super) fn into_body(self) -> Bytes {
        self.body.freeze()
    }

    fn take(&mut self, buf: &mut BytesMut, most: usize) -> Result<usize, BodyFault> {
        let n = buf.len().min(most);
        if self.body.len() + n > self.limit {
            return Err(BodyFault::TooLarge);
        }
        if self.body.is_empty() && n > 0 {
            self.body = buf.split_to(n);
        } else {
            self.body.extend_from_slice(&buf[..n]);
            buf.advance(n);
        }
        Ok(n)
    }

    fn decode_chunks(&mut self, buf: &mut BytesMut) -> Result<bool, BodyFault> {
        loop {
            match self.step {
                ChunkStep::Size => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        buf.advance(used);
                        self.step = match size {
                            0 => ChunkStep::Trailers,
                            n => ChunkStep::Data(n),
                        };
                    }
                    Ok(httparse::Status::Partial) if buf.len() < MAX_CHUNK_LINE => {
                        return Ok(false);
                    }
                    _ => return Err(BodyFault::BadChunk),
                },
                ChunkStep::Data(left) => {
                    let most = usize::try_from(left).map_err(|_| BodyFault::TooLarge)?;
                    let n = self.take(buf, most)?;
                    if n < most {
                        self.step = ChunkStep::Data((most - n) as u64);
                        return Ok(false);
                    }
                    self.step = ChunkStep::DataEnd;
                }
                ChunkStep::DataEnd => {
                    if buf.len() < 2 {
                        return Ok(false);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(BodyFault::BadChunk);
                    }
                    buf.advance(2);
                    self.step = ChunkStep::Size;
                }
                ChunkStep::Trailers => match buf.iter().position(|b| *b == b'\n') {
                    Some(end) => {
                        let line = buf.split_to(end + 1);
                        if line.trim_ascii().is_empty() {
                            self.step = ChunkStep::Done;
                        }
                    }
                    None if buf.len() < MAX_CHUNK_LINE => return Ok(false),
                    None => return Err(BodyFault::BadChunk),
                },
                ChunkStep::Done => return Ok(true),
            }
        }
    }
}
