//! Loans: a gateway that may send a request to an endpoint with a limit lets another gateway send one instead.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::placement::InstanceId;

/// Asks another gateway for one request of its share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Number of the request at the gateway that asks.
    pub number: u64,
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Its limit in requests a second, as the gateway that asks knows it.
    pub per_second: f64,
}

/// Response to a [`LoanRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanResponse {
    /// Number of the request.
    pub number: u64,
    /// What the other gateway has decided.
    pub answer: LoanAnswer,
}

/// Whether a gateway lends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanAnswer {
    /// The gateway that asked may send one request, at once. It counts as sent by the lender.
    Granted,
    /// It may not.
    Denied {
        /// Time after which the share is not used up any more; `None` if the gateway has none.
        free_in: Option<Duration>,
    },
}
