//! How much each class may take.

use strum::EnumCount;

use super::MemoryClass;

/// Part of the account that large bodies may not take, and half of which connections may not take: a reserve for small messages.
const RESERVE_PART: usize = 8;
/// Part of the account that the large bodies of requests leave to all else.
const NO_REQUESTS_PART: usize = 4;
/// Part of the account that connections may take.
const CONNECTIONS_PART: usize = 4;

/// What is taken, by class, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse([usize; MemoryClass::COUNT]);

impl MemoryUse {
    /// What this class has taken, in bytes.
    pub fn of(&self, class: MemoryClass) -> usize {
        self.0[class as usize]
    }

    /// What all classes have taken, in bytes.
    pub fn total(&self) -> usize {
        self.0.iter().sum()
    }

    pub(super) fn add(&mut self, class: MemoryClass, bytes: usize) {
        self.0[class as usize] += bytes;
    }

    pub(super) fn remove(&mut self, class: MemoryClass, bytes: usize) {
        self.0[class as usize] -= bytes;
    }
}

/// How much memory an account has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    total: usize,
}

impl MemoryLimits {
    /// The limits of an account of this many bytes.
    pub fn new(total: usize) -> Self {
        Self { total }
    }

    /// Most bytes that a class may take.
    pub fn of(&self, class: MemoryClass) -> usize {
        match class {
            MemoryClass::Connections => self.total / CONNECTIONS_PART,
            MemoryClass::Small => self.total,
            MemoryClass::Responses => self.total - self.reserve(),
            MemoryClass::Requests => self.total - self.total / NO_REQUESTS_PART,
        }
    }

    /// Whether a class may take this many bytes more.
    pub fn allow(&self, used: &MemoryUse, class: MemoryClass, bytes: usize) -> bool {
        let reserve = match class {
            MemoryClass::Connections => self.reserve() / 2,
            MemoryClass::Small => 0,
            MemoryClass::Responses | MemoryClass::Requests => self.reserve(),
        };
        let fits_class = used.of(class).saturating_add(bytes) <= self.of(class);
        fits_class && used.total().saturating_add(bytes) <= self.total - reserve
    }

    fn reserve(&self) -> usize {
        self.total / RESERVE_PART
    }
}
