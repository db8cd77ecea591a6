//! Errors of reading the body of a caller's request.

use std::time::Duration;

use http::StatusCode;
use thiserror::Error;

use crate::core::{Outcome, Problem, Step};

/// Why the body of a request was not received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestBodyError {
    /// The body is larger than the service allows.
    #[error("the body is larger than the {limit} bytes that the service takes")]
    TooLarge {
        /// Limit of the service, in bytes.
        limit: u64,
    },
    /// No byte arrived within the allowed pause.
    #[error("nothing of the body arrived for {} ms", pause.as_millis())]
    TooSlow {
        /// Longest time allowed without a byte.
        pause: Duration,
    },
    /// The caller's connection ended, or the framing of the body is invalid.
    #[error("the body broke off")]
    Incomplete,
}

impl RequestBodyError {
    /// The problem of a request that ended with this error at `step`.
    pub(super) fn problem(self, outcome: Outcome, step: Step) -> Problem {
        Problem::new(self.status(), outcome, step, self.to_string())
    }

    /// The problem of a request of which nothing was sent to a backend server. For a guarded action
    /// it only means that this copy was rejected: an earlier copy may have run.
    pub(super) fn rejection(self) -> Problem {
        self.problem(Outcome::Refused, Step::Matched)
    }

    fn status(self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::Incomplete => StatusCode::BAD_REQUEST,
        }
    }
}
