//! Errors of sending a request to a backend server.

use std::net::SocketAddr;

use thiserror::Error;

use super::{BodyError, RequestBody};
use crate::core::Step;

/// Why a backend server returned no response.
#[derive(Debug, Error)]
#[error("call to {peer} ended at step {step}")]
pub struct SendError {
    /// Address of the endpoint.
    pub peer: SocketAddr,
    /// Last step that the request reached.
    pub step: Step,
    /// The request, if no byte of it was sent; it can be sent to another endpoint.
    pub unsent: Option<Box<http::Request<RequestBody>>>,
    /// Cause: an error of the connection, an [`AbortReason`] or an error of the request body.
    #[source]
    pub source: BodyError,
}

/// Why a gateway stopped waiting for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AbortReason {
    /// The connection received no bytes while others to the same endpoint did.
    #[error("the connection stalled while others to the endpoint received responses")]
    StalledConnection,
    /// The deadline of the request passed.
    #[error("no response arrived before the deadline")]
    Deadline,
}

impl SendError {
    /// Whether no byte of the request was sent, so that the backend server cannot have started it.
    pub fn is_unsent(&self) -> bool {
        self.unsent.is_some()
    }
}
