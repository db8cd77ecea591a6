//! Body of the responses that turmericloft itself makes, as `application/problem+json`.

use std::time::Duration;

use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as, skip_serializing_none};

use super::{Outcome, Step};

/// A problem document (RFC 9457) for a request that a gateway ends itself.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// HTTP status code.
    pub status: u16,
    /// Standard reason phrase of the status.
    pub title: String,
    /// How the request ended.
    pub outcome: Outcome,
    /// Step at which it ended.
    pub step: Step,
    /// Description of what happened to this request.
    pub detail: String,
    /// Time after which the caller should retry; `None` if no time is suggested.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Media type of the response body.
    pub const MEDIA_TYPE: &'static str = "application/problem+json";

    /// Creates a problem without a retry time.
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

    /// Sets the time after which the caller should retry.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Value of the `Retry-After` header in whole seconds, rounded up; `None` without a retry time.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after
            .map(|wait| wait.as_millis().div_ceil(1000) as u64)
    }
}
