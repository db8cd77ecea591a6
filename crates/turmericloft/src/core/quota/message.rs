//! Messages between a gateway that asks for grants and an owner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Asks an owner for one request of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Number of the question at the gateway that asks.
    pub number: u64,
    /// Name of the organisation.
    pub organisation: String,
}

/// Response to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaResponse {
    /// Number of the question.
    pub number: u64,
    /// What the owner has decided.
    pub answer: QuotaAnswer,
}

/// Whether a gateway grants a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// One request may be sent.
    Granted {
        /// Number of the grant at the owner.
        grant: u32,
        /// What is left of the owner's part, from 0 (nothing) to 255 (all).
        left: u8,
    },
    /// The part is used up.
    Denied {
        /// Time until a request of it is free.
        free_in: Duration,
    },
    /// The gateway owns no part of the organisation's allowance now.
    NoPart,
}

/// Tells an owner what became of its grants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaSettlement {
    /// The grants.
    pub grants: Vec<SettledGrant>,
}

/// What became of one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledGrant {
    /// Number of the grant at the owner.
    pub grant: u32,
    /// Time in milliseconds from the question within which the request arrived; `None` if it has not run and never
    /// will.
    pub arrived_within_ms: Option<u16>,
}
