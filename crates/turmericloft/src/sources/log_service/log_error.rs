//! Errors of the log service.

use http::StatusCode;
use thiserror::Error;

use crate::sources::http_client::CallError;

/// Why an append or a read gave no result.
#[derive(Debug, Error)]
pub enum LogError {
    /// The log service did not take the request; an append had no effect.
    #[error("the log service did not take the request: {reason}")]
    Rejected {
        /// What it said, or why it was not reached.
        reason: String,
        /// Cause, if the log service was not reached.
        #[source]
        source: Option<CallError>,
    },
    /// The answer was lost; an append may have taken effect.
    #[error("the log service's answer was lost")]
    AnswerLost {
        /// Cause.
        #[source]
        source: CallError,
    },
    /// The log service, or something before it, failed; an append may have taken effect.
    #[error("the log service failed with {status}")]
    Unclear {
        /// Status of the answer.
        status: StatusCode,
    },
    /// The answer makes no sense; an append may have taken effect.
    #[error("the log service's answer cannot be read")]
    Unreadable {
        /// Cause.
        #[source]
        source: serde_json::Error,
    },
    /// The log service has records and does not give them.
    #[error(
        "the log service gave no record of {stream} from offset {from} on, although it has \
         records up to {last}"
    )]
    Withheld {
        /// The stream.
        stream: String,
        /// Offset from which on it was read.
        from: u64,
        /// Offset of the last record.
        last: u64,
    },
}

impl LogError {
    /// Whether an append certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::Rejected { .. })
    }
}

impl From<CallError> for LogError {
    fn from(e: CallError) -> Self {
        if e.had_no_effect() {
            Self::Rejected {
                reason: "not reached".to_owned(),
                source: Some(e),
            }
        } else {
            Self::AnswerLost { source: e }
        }
    }
}
