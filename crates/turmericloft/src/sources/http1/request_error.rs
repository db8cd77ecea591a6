//! Errors of requests that cannot be read.

use thiserror::Error;

/// Why a request cannot be read; it is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The request is not HTTP/1.1, or its target, host or framing is invalid.
    #[error("the request is not well-formed HTTP/1.1")]
    Malformed,
    /// The head exceeds the size limit or has too many headers.
    #[error("the head of the request is too large")]
    HeadTooLarge,
    /// The body exceeds the size limit.
    #[error("the body of the request is too large")]
    BodyTooLarge,
}

impl RequestError {
    /// Status code of the response to the client.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
        }
    }
}
