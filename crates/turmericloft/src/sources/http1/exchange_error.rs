//! Errors of request/response exchanges with a server.

use std::{io, net::SocketAddr};

use strum::Display;
use thiserror::Error;

use super::ResponseError;

/// Whether the request may have reached the server when the exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ExchangeStep {
    /// No byte of the request was sent.
    Unsent,
    /// At least a part of the request was sent, so the server may have processed it.
    Sent,
}

/// Why an exchange returned no response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection could not be opened, or reading or writing failed.
    #[error("connection to {peer} failed (request {step})")]
    Io {
        /// Address of the server.
        peer: SocketAddr,
        /// Whether the request may have reached the server.
        step: ExchangeStep,
        /// The underlying error.
        #[source]
        source: io::Error,
    },
    /// The bytes received are not a complete response.
    #[error("no complete response from {peer}")]
    Response {
        /// Address of the server.
        peer: SocketAddr,
        /// The underlying error.
        #[source]
        source: ResponseError,
    },
}

impl ExchangeError {
    /// Whether the connection ended after the request was sent and before its response was complete.
    pub fn is_disconnect(&self) -> bool {
        match self {
            Self::Io { step, .. } => *step == ExchangeStep::Sent,
            Self::Response { source, .. } => *source == ResponseError::Truncated,
        }
    }

    /// Whether it is certain that the server received no byte of the request, so that a retry
    /// cannot execute it twice.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Io {
                step: ExchangeStep::Unsent,
                ..
            }
        )
    }
}
