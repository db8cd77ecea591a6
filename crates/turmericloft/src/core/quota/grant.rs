//! A grant for one attempt of a request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::GRANT_VALIDITY;

/// The right to send one request of an organisation once.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaGrant {
    /// Host of the owner that gave it.
    pub(super) owner: Arc<str>,
    /// Number of the grant at its owner.
    pub(super) id: u32,
    /// When the owner was asked, which is not after its decision.
    pub(super) asked_at: Instant,
    /// Whether the owner needs to know when the request arrived.
    pub(super) needs_settlement: bool,
}

impl QuotaGrant {
    /// Time since its owner was asked.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.asked_at)
    }

    /// Whether the request may still be sent.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.asked_at <= now && now < self.asked_at + GRANT_VALIDITY
    }
}

/// What became of a request that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// It was not sent, or the endpoint has not run it and never will: the grant is given back.
    NotRun,
    /// It arrived within this time after the owner was asked.
    Arrived(Duration),
    /// It is not known when it arrived, or whether it did: the grant counts for the whole interval.
    Unknown,
}
