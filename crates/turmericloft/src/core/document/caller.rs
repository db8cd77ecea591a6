//! Callers: clients known by a bearer token.

use serde::{Deserialize, Serialize};

use super::{Contract, TokenHash};
use crate::core::Name;

/// A caller: its token, its weight in fair sharing and its contracts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name of the caller, unique within the document and used in reports.
    pub name: Name,
    /// SHA-256 of the bearer token, in hexadecimal; unique within the document.
    pub token_sha256: TokenHash,
    /// Share of a contended service, relative to the weights of the other callers; 1 if unset.
    #[serde(default = "unit_weight")]
    pub weight: u32,
    /// Services that the caller may use.
    #[serde(default)]
    pub contracts: Vec<Contract>,
}

impl Caller {
    /// The caller's contract for `service`; `None` if the caller may not use it.
    pub fn contract(&self, service: &Name) -> Option<&Contract> {
        self.contracts
            .iter()
            .find(|contract| contract.service == *service)
    }
}

fn unit_weight() -> u32 {
    1
}
