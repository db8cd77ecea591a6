//! Memory that the large bodies of all responses share.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Size up to which a body needs no share of the budget, in bytes. Responses without end must not keep
/// ordinary ones from being read.
const UNBUDGETED_BYTES: usize = 64 << 10;

/// A number of bytes that bodies may take up together, beyond what each may without it.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    left: Arc<AtomicUsize>,
}

impl BodyBudget {
    /// A budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            left: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// A share without any bytes, for one body.
    pub(super) fn share(&self) -> BodyShare {
        BodyShare {
            left: Arc::clone(&self.left),
            bytes: 0,
        }
    }
}

/// The part of a budget that one body has, returned when dropped.
#[derive(Debug)]
pub(super) struct BodyShare {
    left: Arc<AtomicUsize>,
    bytes: usize,
}

impl BodyShare {
    /// Takes what a body of `length` bytes needs. Returns false if not enough is left.
    pub(super) fn grow_to(&mut self, length: usize) -> bool {
        let needed = length.saturating_sub(UNBUDGETED_BYTES);
        let Some(more) = needed.checked_sub(self.bytes) else {
            return true;
        };
        let take = |left: usize| left.checked_sub(more);
        let taken = self
            .left
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take);
        if taken.is_ok() {
            self.bytes = needed;
        }
        taken.is_ok()
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.left.fetch_add(self.bytes, Ordering::AcqRel);
    }
}
