//! What requests are counted by.

use serde::{Deserialize, Serialize};

use crate::core::Name;

/// Caller, service and kind of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountKey {
    /// The caller.
    pub caller: Name,
    /// The service.
    pub service: Name,
    /// The kind of request.
    pub kind: Name,
}

impl CountKey {
    /// Caller of rows that sum what lies beyond the limit of rows.
    pub const OVERFLOW_CALLER: &'static str = "overflow-callers";

    /// Whether the key is of a row that sums what lies beyond the limit of rows.
    pub fn is_overflow(&self) -> bool {
        self.caller.as_str() == Self::OVERFLOW_CALLER
    }

    /// The key of the row that sums this one with others beyond the limit of rows.
    pub(super) fn into_overflow(self) -> Self {
        let caller = Name::new(Self::OVERFLOW_CALLER);
        Self {
            caller: caller.unwrap_or(self.caller),
            ..self
        }
    }
}
