//! What an event changed in the quarantine table, for logs and metrics.

use strum::{Display, IntoStaticStr};

use crate::core::guard::Fingerprint;

/// What changed the history of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum QuarantineEvent {
    /// An endpoint broke the request off at this gateway.
    Crash,
    /// An endpoint responded to it, which cleared earlier crashes.
    Response,
    /// Another gateway reported crashes or a response.
    Report,
    /// An endpoint that was said to have crashed has survived.
    Survival,
}

/// What is known of one request at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCondition {
    /// Crashes since the last response.
    pub crashes: usize,
    /// Whether the request is in quarantine.
    pub is_quarantined: bool,
}

/// A change of the history of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The request.
    pub request: Fingerprint,
    /// What changed it.
    pub event: QuarantineEvent,
    /// What was known before the change.
    pub before: RequestCondition,
    /// What is known after it.
    pub after: RequestCondition,
}

impl QuarantineChange {
    /// Whether the change put the request in quarantine.
    pub fn begins_quarantine(&self) -> bool {
        self.after.is_quarantined && !self.before.is_quarantined
    }
}
