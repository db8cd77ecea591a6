//! The account itself.

use std::{
    fmt,
    sync::{Arc, OnceLock},
};

use parking_lot::Mutex;

use super::{Charge, MemoryClass, MemoryLimits, MemoryUse};

type OnShortage = Box<dyn Fn(usize) -> bool + Send + Sync>;

struct Shared {
    limits: MemoryLimits,
    used: Mutex<MemoryUse>,
    on_shortage: OnceLock<OnShortage>,
}

/// The memory of a process for connections and messages. Copies are the same account.
#[derive(Clone)]
pub struct MemoryAccount(Arc<Shared>);

impl MemoryAccount {
    /// An account with these limits, of which nothing is taken.
    pub fn new(limits: MemoryLimits) -> Self {
        Self(Arc::new(Shared {
            limits,
            used: Mutex::default(),
            on_shortage: OnceLock::new(),
        }))
    }

    /// Sets what is done when bytes are missing. It returns whether it has found memory that will be free soon. Only the first call
    /// counts.
    pub fn set_on_shortage(&self, act: impl Fn(usize) -> bool + Send + Sync + 'static) {
        let _ = self.0.on_shortage.set(Box::new(act));
    }

    /// A charge of this class without any bytes.
    pub fn charge(&self, class: MemoryClass) -> Charge {
        Charge::new(self.clone(), class)
    }

    /// What is taken.
    pub fn used(&self) -> MemoryUse {
        *self.0.used.lock()
    }

    /// Whether a class may ever take this many bytes at once.
    pub fn can_hold(&self, class: MemoryClass, bytes: usize) -> bool {
        self.0.limits.allow(&MemoryUse::default(), class, bytes)
    }

    /// Has memory that makes no progress reclaimed. Returns whether some will be free soon.
    pub fn reclaim(&self, bytes: usize) -> bool {
        self.0.on_shortage.get().is_some_and(|act| act(bytes))
    }

    pub(super) fn try_take(&self, class: MemoryClass, bytes: usize) -> bool {
        let mut used = self.0.used.lock();
        let is_allowed = self.0.limits.allow(&used, class, bytes);
        if is_allowed {
            used.add(class, bytes);
        }
        is_allowed
    }

    pub(super) fn put_back(&self, class: MemoryClass, bytes: usize) {
        self.0.used.lock().remove(class, bytes);
    }
}

impl fmt::Debug for MemoryAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryAccount")
            .field("limits", &self.0.limits)
            .field("used", &self.used())
            .finish_non_exhaustive()
    }
}
