//! Why an exchange gave no response.

use std::{io, net::SocketAddr};

use strum::Display;
use thiserror::Error;

use super::ResponseError;

/// How far an exchange came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ExchangeStep {
    /// No byte of the request was sent.
    Unsent,
    /// The request may have been read.
    Sent,
}

/// An exchange that failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection failed.
    #[error("the connection to {peer} failed ({step})")]
    Io {
        /// Address of the server.
        peer: SocketAddr,
        /// How far the exchange came.
        step: ExchangeStep,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// What came is no whole response.
    #[error("no whole response from {peer}")]
    Response {
        /// Address of the server.
        peer: SocketAddr,
        /// Cause.
        #[source]
        source: ResponseError,
    },
}

impl ExchangeError {
    /// Whether the server certainly has no byte of the request.
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
