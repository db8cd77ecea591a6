//! The answer to a request that turmericloft itself ends, as `application/problem+json`.

use std::time::Duration;

use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as, skip_serializing_none};

use super::{Outcome, Step};

/// A final answer made by a gateway: status, outcome, step and when to come back.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// HTTP status code.
    pub status: u16,
    /// Short fixed text for this sort of problem.
    pub title: String,
    /// How the request ended.
    pub outcome: Outcome,
    /// Step at which it ended.
    pub step: Step,
    /// What happened to this request.
    pub detail: String,
    /// Earliest sensible time of a new try, from now.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Media type of the body.
    pub const MEDIA_TYPE: &'static str = "application/problem+json";

    /// A problem without a time to come back.
    pub fn new(
        status: StatusCode,
        outcome: Outcome,
        step: Step,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            status: status.as_u16(),
            title: status.canonical_reason().unwrap_or("Error").to_owned(),
            outcome,
            step,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// The same problem with a time to come back.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Value of the `Retry-After` header: whole seconds, rounded up.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after
            .map(|wait| wait.as_millis().div_ceil(1000) as u64)
    }
}
