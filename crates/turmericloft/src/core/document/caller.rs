//! Callers.

use serde::{Deserialize, Serialize};

use super::{Contract, TokenHash};
use crate::core::Name;

/// A caller: how it is known, its share, and its contracts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name, as in reports.
    pub name: Name,
    /// SHA-256 of the bearer token, in hexadecimal.
    pub token_sha256: TokenHash,
    /// Share of a contended service, against the other callers' weights.
    #[serde(default = "unit_weight")]
    pub weight: u32,
    /// Services the caller may use.
    #[serde(default)]
    pub contracts: Vec<Contract>,
}

impl Caller {
    /// The caller's contract for a service.
    pub fn contract(&self, service: &Name) -> Option<&Contract> {
        self.contracts
            .iter()
            .find(|contract| contract.service == *service)
    }
}

fn unit_weight() -> u32 {
    1
}
