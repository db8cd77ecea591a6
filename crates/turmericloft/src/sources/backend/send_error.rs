//! Errors of calls to backend servers.

use std::net::SocketAddr;

use thiserror::Error;

use super::{BodyError, RequestBody};
use crate::core::Step;

/// Why a backend server gave no answer.
#[derive(Debug, Error)]
#[error("call to {peer} ended at step {step}")]
pub struct SendError {
    /// Endpoint called.
    pub peer: SocketAddr,
    /// Step reached.
    pub step: Step,
    /// The request, if not one byte of it was sent.
    pub unsent: Option<Box<http::Request<RequestBody>>>,
    /// Cause.
    #[source]
    pub source: BodyError,
}

/// Why an answer was not waited for any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AbortReason {
    /// The connection moved no bytes while others to the same endpoint did.
    #[error("the connection has gone silent")]
    SilentConnection,
    /// The time allowed for the request is over.
    #[error("there was no answer by the deadline")]
    Deadline,
}

impl SendError {
    /// Whether the backend server certainly did not start the request.
    pub fn not_started(&self) -> bool {
        self.unsent.is_some()
    }
}
