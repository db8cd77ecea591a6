//! Requests that are answered without being forwarded.

use thiserror::Error;

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// It is no HTTP, or not clear.
    #[error("the request is not well-formed HTTP/1.1")]
    Malformed,
    /// Its head is larger than allowed.
    #[error("the head of the request is too large")]
    HeadTooLarge,
    /// Its body is larger than allowed.
    #[error("the body of the request is too large")]
    BodyTooLarge,
}

impl RequestError {
    /// The status that tells the client.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
        }
    }
}
