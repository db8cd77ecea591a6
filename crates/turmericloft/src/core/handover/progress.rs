//! Progress of handing over one request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use strum::{Display, IntoStaticStr};

use super::{AttemptGrant, HelperRefusal, HelperTry};

/// Helpers that one request is sent to at most. With a third of all gateways cut off, six in a row are so for
/// one request in 700.
pub const MAX_HELPERS: usize = 6;
/// Time to the deadline below which a request is not handed over to another helper.
const MIN_TIME: Duration = Duration::from_millis(10);

/// How handing over a request to one helper has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum HandoverTry {
    /// The helper does not take the request.
    Refused(HelperRefusal),
    /// No byte of the request was sent.
    Unsent,
    /// The connection ended without a complete response, so the request may have run.
    Broken,
    /// The helper responded that the request has failed at its endpoints, or has no response from there.
    Failed,
    /// The helper gave no sign that it has taken the request, which may have run all the same.
    Silent,
    /// The helper has taken the request, and no response came in time, so the request may have run.
    TimedOut,
}

/// What to do after the last try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverEnd {
    /// No helper has the request, and none said that it reaches endpoints: all endpoints may be down, so the
    /// gateway serves the request itself as far as it can.
    ServeHere,
    /// No helper has the request, and some were busy.
    Busy,
    /// The request may have run; the last helper that had it ended the connection.
    Broken,
    /// The request may have run; no helper responded in time.
    TimedOut,
}

/// The tries so far of one request.
#[derive(Clone, Debug)]
pub struct HandoverProgress {
    is_idempotent: bool,
    deadline: Instant,
    /// What may still be done with the request.
    left: AttemptGrant,
    tried: Vec<Arc<str>>,
    was_busy: bool,
    /// How the last try ended after which the request may have run; `None` if it has not.
    may_have_run: Option<HandoverEnd>,
}

impl HandoverProgress {
    /// Begins with no try of a request with this deadline. `left` is what the gateway has not done itself.
    pub fn new(is_idempotent: bool, deadline: Instant, left: AttemptGrant) -> Self {
        Self {
            is_idempotent,
            deadline,
            left,
            tried: Vec::new(),
            was_busy: false,
            may_have_run: None,
        }
    }

    /// Hosts of the helpers that were tried.
    pub fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// The next try; `None` if the request may not go to another helper. An idempotent request leaves half of its time
    /// and of its attempts for one more helper, as the host of a helper may freeze.
    pub fn next_try(&self, now: Instant) -> Option<HelperTry> {
        let left = self.deadline.saturating_duration_since(now);
        let is_at_risk = self.may_have_run.is_some() && !self.is_idempotent;
        let is_exhausted = self.left.attempts == 0 || self.tried.len() >= MAX_HELPERS;
        if is_at_risk || is_exhausted || left < MIN_TIME {
            return None;
        }
        let attempts = self.next_attempts();
        let sign_by = match attempts < self.left.attempts {
            true => now + left / 2,
            false => self.deadline,
        };
        Some(HelperTry {
            grant: AttemptGrant {
                attempts,
                ..self.left
            },
            sign_by,
        })
    }

    /// Attempts that the next helper gets.
    fn next_attempts(&self) -> u32 {
        match self.is_idempotent {
            true => self.left.attempts.div_ceil(2),
            false => self.left.attempts,
        }
    }

    /// What may still be done with the request.
    pub fn left(&self) -> AttemptGrant {
        self.left
    }

    /// Whether the next try may repeat what a helper has done.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.is_some()
    }

    /// Records how the try at `host` ended. A helper whose end is not known may have used all its attempts.
    pub fn record(&mut self, host: Arc<str>, end: HandoverTry) {
        self.tried.push(host);
        let end = match end {
            // An outdated helper reaches endpoints, and may have the document in a moment.
            HandoverTry::Refused(HelperRefusal::Busy | HelperRefusal::Outdated) => {
                return self.was_busy = true;
            }
            HandoverTry::Refused(HelperRefusal::CutOff) | HandoverTry::Unsent => return,
            HandoverTry::Broken | HandoverTry::Failed => HandoverEnd::Broken,
            HandoverTry::Silent | HandoverTry::TimedOut => HandoverEnd::TimedOut,
        };
        self.left = AttemptGrant {
            attempts: self.left.attempts - self.next_attempts(),
            is_retry: true,
        };
        self.may_have_run = Some(end);
    }

    /// Records that helpers are left out as they were busy a moment ago.
    pub fn record_busy(&mut self) {
        self.was_busy = true;
    }

    /// What to do as no further helper can be tried.
    pub fn end(&self) -> HandoverEnd {
        let untouched = match self.was_busy {
            true => HandoverEnd::Busy,
            false => HandoverEnd::ServeHere,
        };
        self.may_have_run.unwrap_or(untouched)
    }
}
