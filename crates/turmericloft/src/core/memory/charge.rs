//! What one connection or message has taken.

use super::{MemoryAccount, MemoryClass, SMALL_BYTES};

/// What one connection or message has taken from an account; put back when dropped.
#[derive(Debug)]
pub struct Charge {
    account: MemoryAccount,
    class: MemoryClass,
    small: usize,
    large: usize,
}

impl Charge {
    pub(super) fn new(account: MemoryAccount, class: MemoryClass) -> Self {
        Self {
            account,
            class,
            small: 0,
            large: 0,
        }
    }

    /// Bytes that are taken.
    pub fn bytes(&self) -> usize {
        self.small + self.large
    }

    /// Takes so much that there are `bytes` in all. Returns false, and takes nothing, if not enough is left.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let small = match self.class {
            MemoryClass::Connections => 0,
            _ => bytes.min(SMALL_BYTES),
        };
        let more_small = small.saturating_sub(self.small);
        let more_large = (bytes - small).saturating_sub(self.large);
        if more_small > 0 && !self.account.try_take(MemoryClass::Small, more_small) {
            return false;
        }
        if more_large > 0 && !self.account.try_take(self.class, more_large) {
            self.account.put_back(MemoryClass::Small, more_small);
            return false;
        }
        self.small += more_small;
        self.large += more_large;
        true
    }

    /// Puts back what is more than `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let less_large = self.bytes().saturating_sub(bytes).min(self.large);
        self.account.put_back(self.class, less_large);
        self.large -= less_large;
        let less_small = self.bytes().saturating_sub(bytes);
        self.account.put_back(MemoryClass::Small, less_small);
        self.small -= less_small;
    }

    /// Whether so many bytes can ever be taken, when nothing else is.
    pub fn can_ever_grow_to(&self, bytes: usize) -> bool {
        let large = bytes.saturating_sub(SMALL_BYTES);
        self.account.can_hold(self.class, large)
    }

    /// Has memory that makes no progress reclaimed for so many bytes. Returns whether some will be free soon.
    pub fn reclaim(&self, bytes: usize) -> bool {
        self.account.reclaim(bytes)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
