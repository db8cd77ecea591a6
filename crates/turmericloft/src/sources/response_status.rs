//! Which statuses a response may have, for all that read responses.

use thiserror::Error;

/// Status with which a server agrees to another protocol (101 Switching Protocols).
const SWITCHING_PROTOCOLS: u16 = 101;

/// The status is none of HTTP (RFC 9110, section 15), or answers something that no request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{0} is no status of a response")]
pub struct InvalidStatus(u16);

/// The two kinds of responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// Another response follows.
    Informational,
    /// The response to the request.
    Final,
}

impl ResponseKind {
    /// The kind of a response with this status.
    pub fn of(status: u16) -> Result<Self, InvalidStatus> {
        match status {
            SWITCHING_PROTOCOLS => Err(InvalidStatus(status)),
            100..=199 => Ok(Self::Informational),
            200..=599 => Ok(Self::Final),
            _ => Err(InvalidStatus(status)),
        }
    }
}
