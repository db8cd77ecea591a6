//! Errors of requests to the log service.

use http::StatusCode;
use thiserror::Error;

use crate::sources::http_client::RequestError;

/// Error of an append or a read.
#[derive(Debug, Error)]
pub enum LogError {
    /// The log service rejected the request or could not be reached; an append had no effect.
    #[error("the log service did not accept the request: {reason}")]
    Rejected {
        /// Status and body of the response, or why there is none.
        reason: String,
        /// Error of the HTTP client; `None` if the log service responded.
        #[source]
        source: Option<RequestError>,
    },
    /// No complete response arrived; an append may have taken effect.
    #[error("the response of the log service was lost")]
    ResponseLost {
        /// Error of the HTTP client.
        #[source]
        source: RequestError,
    },
    /// The log service or a proxy in front of it failed with a 5xx status other than 503; an append
    /// may have taken effect.
    #[error("the log service failed with {status}")]
    ServerError {
        /// Status of the response.
        status: StatusCode,
    },
    /// The response cannot be decoded; an append may have taken effect.
    #[error("cannot decode the response of the log service")]
    InvalidResponse {
        /// Error of the JSON decoder.
        #[source]
        source: serde_json::Error,
    },
    /// The log service reports records from an offset on but returned none of them.
    #[error(
        "the log service gave no record of {stream} from offset {from} on, although it has \
         records up to {last}"
    )]
    MissingRecords {
        /// Name of the stream.
        stream: String,
        /// Offset of the first requested record.
        from: u64,
        /// Offset of the last record.
        last: u64,
    },
}

impl LogError {
    /// Whether it is certain that an append had no effect, so that a retry cannot duplicate it.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::Rejected { .. })
    }
}

impl From<RequestError> for LogError {
    fn from(e: RequestError) -> Self {
        if e.had_no_effect() {
            Self::Rejected {
                reason: "no connection".to_owned(),
                source: Some(e),
            }
        } else {
            Self::ResponseLost { source: e }
        }
    }
}
