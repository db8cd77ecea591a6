//! Collects the bytes of a body.

use bytes::{Buf, Bytes, BytesMut};

use super::Body;
use crate::core::memory::Charge;

/// Largest segment, in bytes. Segments are not moved when a body grows, and a freed one fits the next body.
const SEGMENT_BYTES: usize = 64 << 10;
/// First segment of a body of unknown length, in bytes.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;

/// A body whose end has not arrived.
#[derive(Debug)]
pub(super) struct BodyBuilder {
    segments: Vec<Bytes>,
    /// The segment that is being filled.
    open: BytesMut,
    length: usize,
    /// Length of the whole body; `None` if it is not known.
    expected: Option<usize>,
    /// What the body has taken; `None` if its memory is not limited.
    charge: Option<Charge>,
    /// Bytes that it lacks in all; `None` if it has enough for now.
    missing: Option<usize>,
}

impl BodyBuilder {
    pub(super) fn new(expected: Option<usize>, charge: Option<Charge>) -> Self {
        Self {
            segments: Vec::new(),
            open: BytesMut::new(),
            length: 0,
            expected,
            charge,
            missing: None,
        }
    }

    /// Bytes so far.
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Bytes that the account has to have for the body to grow, in all; `None` if it can grow.
    pub(super) fn missing(&self) -> Option<usize> {
        self.missing
    }

    /// What the body has taken; `None` if its memory is not limited.
    pub(super) fn charge(&self) -> Option<&Charge> {
        self.charge.as_ref()
    }

    /// Takes memory for the whole body if its length is known, so that one that has begun can be completed. Returns false if there is not
    /// enough.
    pub(super) fn reserve(&mut self) -> bool {
        self.expected.is_none_or(|bytes| self.grow_to(bytes))
    }

    /// Moves up to `max` bytes from `buf`, fewer if memory is missing. Returns their number.
    pub(super) fn take_from(&mut self, buf: &mut BytesMut, max: usize) -> usize {
        let wanted = buf.len().min(max);
        if wanted == 0 || !self.reserve() {
            return 0;
        }
        if self.length == 0 && self.expected == Some(wanted) {
            self.segments.push(buf.split_to(wanted).freeze());
            self.length = wanted;
            return wanted;
        }
        let mut taken = 0;
        while taken < wanted {
            if self.open.len() == self.open.capacity() && !self.open_segment() {
                break;
            }
            let room = self.open.capacity() - self.open.len();
            let n = room.min(wanted - taken);
            self.open.extend_from_slice(&buf[..n]);
            buf.advance(n);
            self.length += n;
            taken += n;
        }
        taken
    }

    /// The body as it is.
    pub(super) fn finish(mut self) -> Body {
        self.close_segment();
        Body::new(self.segments, self.charge)
    }

    /// Opens the next segment. Returns false if memory is missing.
    fn open_segment(&mut self) -> bool {
        let size = match self.expected {
            Some(expected) => (expected - self.length).min(SEGMENT_BYTES),
            None => self.length.clamp(FIRST_SEGMENT_BYTES, SEGMENT_BYTES),
        };
        if self.expected.is_none() && !self.grow_to(self.length + size) {
            return false;
        }
        self.close_segment();
        self.open = BytesMut::with_capacity(size);
        true
    }

    fn close_segment(&mut self) {
        let full = std::mem::take(&mut self.open);
        if !full.is_empty() {
            self.segments.push(full.freeze());
        }
    }

    fn grow_to(&mut self, bytes: usize) -> bool {
        let has_enough = self.charge.as_mut().is_none_or(|c| c.try_grow_to(bytes));
        self.missing = (!has_enough).then_some(bytes);
        has_enough
    }
}
