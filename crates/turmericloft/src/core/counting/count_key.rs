//! Keys by which requests are counted.

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// Caller, service and kind of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountKey {
    /// Caller named by the request's token, or [`Self::OVERFLOW_CALLER`].
    pub caller: Name,
    /// Service that the request's route matched.
    pub service: Name,
    /// Kind of request of that service.
    pub kind: Name,
}

impl CountKey {
    /// Caller of the rows that sum requests beyond the row limit.
    pub const OVERFLOW_CALLER: &'static str = "overflow-callers";

    /// Whether the key is that of a row that sums requests beyond the row limit.
    pub fn is_overflow(&self) -> bool {
        self.caller.as_str() == Self::OVERFLOW_CALLER
    }

    /// The key under which a request of this key is counted beyond the row limit.
    pub(super) fn into_overflow(self) -> Self {
        let caller = Name::new(Self::OVERFLOW_CALLER);
        Self {
            caller: caller.unwrap_or(self.caller),
            ..self
        }
    }
}
