//! Bodies of messages.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

use crate::core::memory::Charge;

/// The body of a message, in segments. Copies share the segments and what they have taken from the account.
#[derive(Clone, Debug, Default)]
pub struct Body {
    segments: Vec<Bytes>,
    length: usize,
    _charge: Option<Arc<Charge>>,
}

impl Body {
    pub(super) fn new(segments: Vec<Bytes>, charge: Option<Charge>) -> Self {
        Self {
            length: segments.iter().map(Bytes::len).sum(),
            segments,
            _charge: charge.filter(|c| c.bytes() > 0).map(Arc::new),
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

    /// The segments in their order; none is empty.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// All bytes in one piece. Copies a body of several segments.
    pub fn to_bytes(&self) -> Bytes {
        match &self.segments[..] {
            [] => Bytes::new(),
            [segment] => segment.clone(),
            segments => {
                let mut all = BytesMut::with_capacity(self.length);
                segments.iter().for_each(|s| all.extend_from_slice(s));
                all.freeze()
            }
        }
    }
}
