//! Encoded messages.

use std::io::{self, IoSlice};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncWrite, AsyncWriteExt};

use super::Body;

/// Most parts that are written at once.
const MAX_SLICES: usize = 16;

/// An encoded message. The segments of a large body are not copied.
#[derive(Clone, Debug, Default)]
pub struct Message {
    parts: Vec<Bytes>,
    length: usize,
}

impl Message {
    /// Length up to which a message is written from one buffer, in bytes.
    pub const JOINED_BYTES: usize = 16 << 10;

    /// A message of a head and a body.
    pub fn new(mut head: BytesMut, body: &Body) -> Self {
        let length = head.len() + body.len();
        if length <= Self::JOINED_BYTES {
            body.segments()
                .iter()
                .for_each(|s| head.extend_from_slice(s));
            return Self {
                parts: vec![head.freeze()],
                length,
            };
        }
        let segments = body.segments().iter().cloned();
        Self {
            parts: std::iter::once(head.freeze()).chain(segments).collect(),
            length,
        }
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// All bytes in one piece.
    pub fn to_bytes(&self) -> Bytes {
        match &self.parts[..] {
            [part] => part.clone(),
            parts => parts.concat().into(),
        }
    }

    /// The parts behind the first `written` bytes, not more than are written at once.
    pub(super) fn rest(&self, written: usize) -> Vec<IoSlice<'_>> {
        let mut before = written;
        let mut slices = Vec::with_capacity(self.parts.len().min(MAX_SLICES));
        for part in &self.parts {
            if before >= part.len() {
                before -= part.len();
                continue;
            }
            slices.push(IoSlice::new(&part[before..]));
            before = 0;
            if slices.len() == MAX_SLICES {
                break;
            }
        }
        slices
    }

    /// Writes some of what is behind the first `written` bytes. Returns the number of bytes.
    pub async fn write_some(
        &self,
        written: usize,
        out: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<usize> {
        match &self.rest(written)[..] {
            [only] => out.write(only).await,
            slices => out.write_vectored(slices).await,
        }
    }
}

impl From<Bytes> for Message {
    fn from(bytes: Bytes) -> Self {
        Self {
            length: bytes.len(),
            parts: vec![bytes],
        }
    }
}

impl From<Vec<u8>> for Message {
    fn from(bytes: Vec<u8>) -> Self {
        Bytes::from(bytes).into()
    }
}

impl From<String> for Message {
    fn from(text: String) -> Self {
        Bytes::from(text).into()
    }
}
