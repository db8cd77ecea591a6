//! Contracts: which caller may use which service, and how much.

use serde::{Deserialize, Serialize};
use serde_with::skip_serializing_none;

use crate::core::Name;

/// A caller's right to use one service.
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The service.
    pub service: Name,
    /// Kinds allowed; all of them when empty.
    #[serde(default)]
    pub kinds: Vec<Name>,
    /// Requests a second on all gateways together; without it there is no such limit.
    #[serde(default)]
    pub requests_per_s: Option<u32>,
    /// Requests in flight on one gateway; without it there is no such limit.
    #[serde(default)]
    pub in_flight: Option<u32>,
}

impl Contract {
    /// Whether the contract covers `kind`.
    pub fn allows(&self, kind: &Name) -> bool {
        self.kinds.is_empty() || self.kinds.contains(kind)
    }
}
