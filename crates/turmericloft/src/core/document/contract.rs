//! Contracts: which services a caller may use, and within which limits.

use serde::{Deserialize, Serialize};
use serde_with::skip_serializing_none;

use crate::core::Name;

/// A caller's right to use one service.
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Name of the service.
    pub service: Name,
    /// Allowed kinds of request; empty allows all of them.
    #[serde(default)]
    pub kinds: Vec<Name>,
    /// Limit on requests per second, over all gateways together; `None` means unlimited.
    #[serde(default)]
    pub requests_per_s: Option<u32>,
    /// Limit on requests in flight on each gateway; `None` means unlimited.
    #[serde(default)]
    pub in_flight: Option<u32>,
}

impl Contract {
    /// Whether the contract allows requests of `kind`.
    pub fn allows(&self, kind: &Name) -> bool {
        self.kinds.is_empty() || self.kinds.contains(kind)
    }
}
