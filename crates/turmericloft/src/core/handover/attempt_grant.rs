//! What a helper may do with a request.

use std::{fmt, str::FromStr};

use thiserror::Error;

/// Word that marks a request which may have run before.
const RETRY: &str = "retry";

/// How many endpoints a request may still be sent to, and whether it may have run before. All gateways that send a
/// request share one account of attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptGrant {
    /// Endpoints that the request may be sent to.
    pub attempts: u32,
    /// Whether the request may have run at an endpoint already.
    pub is_retry: bool,
}

/// A text is no grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a number of attempts, with or without \"{RETRY}\"")]
pub struct AttemptGrantError;

impl fmt::Display for AttemptGrant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.is_retry {
            true => write!(f, "{} {RETRY}", self.attempts),
            false => write!(f, "{}", self.attempts),
        }
    }
}

impl FromStr for AttemptGrant {
    type Err = AttemptGrantError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (attempts, is_retry) = match text.split_once(' ') {
            Some((attempts, RETRY)) => (attempts, true),
            Some(_) => return Err(AttemptGrantError),
            None => (text, false),
        };
        let attempts = attempts.parse().map_err(|_| AttemptGrantError)?;
        Ok(Self { attempts, is_retry })
    }
}
