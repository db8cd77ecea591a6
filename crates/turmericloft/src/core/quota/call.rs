//! The questions of one attempt to owners.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::QuotaGrant;
use crate::core::traffic::RequestQuota;

/// The questions that one attempt has asked so far.
#[derive(Clone, Debug)]
pub struct QuotaCall {
    pub(super) organisation: Arc<str>,
    pub(super) quota: RequestQuota,
    /// Owners that were asked.
    pub(super) asked: Vec<Arc<str>>,
    /// When the last one was asked.
    pub(super) asked_at: Option<Instant>,
    /// Shortest time until one of those that denied has credit, from its denial.
    pub(super) free_at: Option<Instant>,
}

/// What an attempt does next.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaStep {
    /// Asks the owner on this host.
    Ask(Arc<str>),
    /// Sends the request.
    Granted(QuotaGrant),
    /// Gives up.
    Rejected(QuotaRejection),
}

/// Why an attempt gets no grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaRejection {
    /// The quota is used up.
    Exhausted {
        /// Time until credit is due.
        retry_after: Duration,
    },
    /// No owner answers.
    NoOwner,
}
