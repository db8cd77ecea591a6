//! What can be wrong with the body of a caller's request.

use std::time::Duration;

use http::StatusCode;
use thiserror::Error;

use crate::core::{Outcome, Problem, Step};

/// Why the body of a request did not arrive whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestBodyError {
    /// More bytes than the service takes.
    #[error("the body is larger than the {limit} bytes that the service takes")]
    TooLarge {
        /// Limit of the service, in bytes.
        limit: u64,
    },
    /// Nothing arrived for too long.
    #[error("nothing of the body arrived for {} ms", pause.as_millis())]
    TooSlow {
        /// Longest pause allowed.
        pause: Duration,
    },
    /// The caller's connection ended, or its framing is wrong.
    #[error("the body broke off")]
    Incomplete,
}

impl RequestBodyError {
    /// The answer to a request that ended with this fault at `step`.
    pub(super) fn problem(self, outcome: Outcome, step: Step) -> Problem {
        Problem::new(self.status(), outcome, step, self.to_string())
    }

    /// The answer to a request of which nothing was sent to a backend server. Of a guarded action
    /// it says nothing but that this copy was turned away: an earlier copy may have run.
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
